package dissemination

import (
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

const (
	// gatherTimeout bounds the time for reading the files of one version.
	gatherTimeout = 30 * time.Second
	// fetchesInFlight bounds the files that are read at a time.
	fetchesInFlight = 8
	// fetchRate and fetchBurst bound the files read, per second and at once.
	fetchRate  = 20
	fetchBurst = 64
	// fetchTimeout bounds the time for one file.
	fetchTimeout = 2 * time.Second
	// maxFetchFailures is how many failed reads of files end a gathering.
	maxFetchFailures = 16
)

// budget is a token bucket for reads of files. It starts full.
type budget struct {
	tokens float64
	at     time.Time
}

func (b *budget) take(now time.Time) bool {
	if b.at.IsZero() {
		b.tokens = fetchBurst
	} else {
		b.tokens = min(fetchBurst, b.tokens+now.Sub(b.at).Seconds()*fetchRate)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// gather collects the contents of one version from the service.
type gather struct {
	offer    catalog.Offer
	until    time.Time
	want     []catalog.FileRevision
	inFlight map[string]fetch
	failures int
}

type fetch struct {
	id      catalog.FileRevision
	expires time.Time
}

// gatherFolder begins to collect a version, or offers it when nothing is
// missing.
func (s *Disseminator) gatherFolder(now time.Time, version uint64, all []catalog.FileRevision, out *actions) {
	o := catalog.Offer{Version: version, Index: all, Source: catalog.Source{Kind: catalog.FromService}}
	if g := s.service.gather; g != nil {
		o.Files = g.offer.Files
	}
	s.service.gather = nil
	s.tryOffer(now, o, out)
}

// tryOffer offers o. If contents are missing it goes on collecting them.
func (s *Disseminator) tryOffer(now time.Time, o catalog.Offer, out *actions) {
	missing := s.missing(o)
	if len(missing) == 0 {
		s.service.gather = nil
		d := s.offer(o, out)
		if d.Outcome == catalog.Refused || d.Outcome == catalog.Incomplete {
			// The service would give the same at once, again and again.
			s.service.config.failed(now, s.jitter)
			return
		}
		s.service.config.failures = 0
		return
	}
	s.service.gather = &gather{
		offer: o, until: now.Add(gatherTimeout), want: missing, inFlight: make(map[string]fetch),
	}
}

// missing lists the contents of o that are neither in it nor in force. An
// outdated offer needs none, so that it is counted and ignored.
func (s *Disseminator) missing(o catalog.Offer) []catalog.FileRevision {
	if o.Version <= s.acceptor.Version() {
		return nil
	}
	known := make(map[catalog.FileRevision]bool)
	for _, id := range s.acceptor.Files().Revisions() {
		known[id] = true
	}
	for _, p := range o.Files {
		known[p.ID()] = true
	}
	var out []catalog.FileRevision
	for _, id := range o.Index {
		if !known[id] {
			out = append(out, id)
		}
	}
	return out
}

func (s *Disseminator) fetchFiles(now time.Time, out *actions) {
	g := s.service.gather
	if g == nil {
		return
	}
	for len(g.want) > 0 && len(g.inFlight) < fetchesInFlight && s.service.budget.take(now) {
		id := g.want[0]
		g.want = g.want[1:]
		g.inFlight[id.Name] = fetch{id: id, expires: now.Add(fetchTimeout)}
		s.counts.Reads++
		out.add(FetchFile{Name: id.Name})
	}
}

// OnFetchedFile reports a file that the service gave.
func (s *Disseminator) OnFetchedFile(now time.Time, p catalog.File) []Action {
	out := s.begin(now)
	g := s.service.gather
	if g == nil {
		return out.list
	}
	f, asked := g.inFlight[p.Name]
	if !asked {
		return out.list
	}
	delete(g.inFlight, p.Name)
	switch {
	case p.Revision < f.id.Revision:
		s.counts.OlderFiles++
		s.fetchFailed(f.id)
	case p.Revision > f.id.Revision:
		// The folder has moved on: its newest version will name this content.
		s.service.gather = nil
		s.service.config.next = now
	default:
		g.offer.Files = append(g.offer.Files, p)
		if len(g.want) == 0 && len(g.inFlight) == 0 {
			s.tryOffer(now, g.offer, out)
		}
	}
	s.fetchFiles(now, out)
	s.afterEvent(now, out)
	return out.list
}

// OnFetchError reports that a file could not be read. Gone tells that the
// service doesn't have it.
func (s *Disseminator) OnFetchError(now time.Time, name string, gone bool) []Action {
	out := s.begin(now)
	g := s.service.gather
	if g == nil {
		return out.list
	}
	f, asked := g.inFlight[name]
	if !asked {
		return out.list
	}
	delete(g.inFlight, name)
	if gone {
		s.service.gather = nil
		s.service.config.next = now.Add(s.jitter(minBackoff))
		return out.list
	}
	s.fetchFailed(f.id)
	return out.list
}

// fetchFailed puts a file at the end of those to read. It is read again when
// the budget allows, and after too many failures the watch starts over.
func (s *Disseminator) fetchFailed(id catalog.FileRevision) {
	g := s.service.gather
	g.want = append(g.want, id)
	g.failures++
}

func (s *Disseminator) expireGather(now time.Time) {
	g := s.service.gather
	if g == nil {
		return
	}
	// In a fixed order, so that equal seeds give equal runs.
	for _, name := range slices.Sorted(maps.Keys(g.inFlight)) {
		f := g.inFlight[name]
		if !now.Before(f.expires) {
			delete(g.inFlight, name)
			s.fetchFailed(f.id)
		}
	}
	outdated := g.offer.Version <= s.acceptor.Version()
	if outdated || g.failures > maxFetchFailures || !now.Before(g.until) {
		s.service.gather = nil
		s.service.config.failed(now, s.jitter)
	}
}
