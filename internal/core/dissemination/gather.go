package dissemination

import (
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

const (
	// folderFetchTimeout bounds the time for reading the files of one version.
	folderFetchTimeout = 30 * time.Second
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

// tokenBucket is a token bucket for reads of files. It starts full.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.updatedAt.IsZero() {
		b.tokens = fetchBurst
	} else {
		b.tokens = min(fetchBurst, b.tokens+now.Sub(b.updatedAt).Seconds()*fetchRate)
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// folderFetch collects the contents of one version from the service.
type folderFetch struct {
	offer    catalog.Offer
	deadline time.Time
	pending  []catalog.FileRevision
	inFlight map[string]fileFetch
	failures int
}

type fileFetch struct {
	id      catalog.FileRevision
	expires time.Time
}

// startFolderFetch begins to collect a version, or offers it when nothing is
// missing.
func (s *Disseminator) startFolderFetch(now time.Time, version uint64, all []catalog.FileRevision, out *actions) {
	o := catalog.Offer{Version: version, Index: all, Source: catalog.Source{Kind: catalog.FromService}}
	if g := s.service.folderFetch; g != nil {
		o.Files = g.offer.Files
	}
	s.service.folderFetch = nil
	s.offerOrFetch(now, o, out)
}

// offerOrFetch offers o. If contents are missing it goes on collecting them.
func (s *Disseminator) offerOrFetch(now time.Time, o catalog.Offer, out *actions) {
	missing := s.missingFiles(o)
	if len(missing) == 0 {
		s.service.folderFetch = nil
		d := s.offer(o, out)
		if d.Outcome == catalog.Refused || d.Outcome == catalog.Incomplete {
			// The service would give the same at once, again and again.
			s.service.config.failed(now, s.jitter)
			return
		}
		s.service.config.failures = 0
		return
	}
	s.service.folderFetch = &folderFetch{
		offer: o, deadline: now.Add(folderFetchTimeout), pending: missing, inFlight: make(map[string]fileFetch),
	}
}

// missingFiles lists the contents of o that are neither in it nor in force. An
// outdated offer needs none, so that it is counted and ignored.
func (s *Disseminator) missingFiles(o catalog.Offer) []catalog.FileRevision {
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
	g := s.service.folderFetch
	if g == nil {
		return
	}
	for len(g.pending) > 0 && len(g.inFlight) < fetchesInFlight && s.service.fetchBucket.take(now) {
		id := g.pending[0]
		g.pending = g.pending[1:]
		g.inFlight[id.Name] = fileFetch{id: id, expires: now.Add(fetchTimeout)}
		s.counts.Reads++
		out.add(FetchFile{Name: id.Name})
	}
}

// OnFetchedFile reports a file that the service gave.
func (s *Disseminator) OnFetchedFile(now time.Time, p catalog.File) []Action {
	out := s.beginEvent(now)
	g := s.service.folderFetch
	if g == nil {
		return out.list
	}
	f, requested := g.inFlight[p.Name]
	if !requested {
		return out.list
	}
	delete(g.inFlight, p.Name)
	switch {
	case p.Revision < f.id.Revision:
		s.counts.OlderFiles++
		s.retryFetch(f.id)
	case p.Revision > f.id.Revision:
		// The folder has moved on: its newest version will name this content.
		s.service.folderFetch = nil
		s.service.config.next = now
	default:
		g.offer.Files = append(g.offer.Files, p)
		if len(g.pending) == 0 && len(g.inFlight) == 0 {
			s.offerOrFetch(now, g.offer, out)
		}
	}
	s.fetchFiles(now, out)
	s.afterEvent(now, out)
	return out.list
}

// OnFetchError reports that a file could not be read. Gone tells that the
// service doesn't have it.
func (s *Disseminator) OnFetchError(now time.Time, name string, gone bool) []Action {
	out := s.beginEvent(now)
	g := s.service.folderFetch
	if g == nil {
		return out.list
	}
	f, requested := g.inFlight[name]
	if !requested {
		return out.list
	}
	delete(g.inFlight, name)
	if gone {
		s.service.folderFetch = nil
		s.service.config.next = now.Add(s.jitter(minBackoff))
		return out.list
	}
	s.retryFetch(f.id)
	return out.list
}

// retryFetch puts a file at the end of those to read. It is read again when
// the budget allows, and after too many failures the watch starts over.
func (s *Disseminator) retryFetch(id catalog.FileRevision) {
	g := s.service.folderFetch
	g.pending = append(g.pending, id)
	g.failures++
}

func (s *Disseminator) expireFolderFetch(now time.Time) {
	g := s.service.folderFetch
	if g == nil {
		return
	}
	// In a fixed order, so that equal seeds give equal runs.
	for _, name := range slices.Sorted(maps.Keys(g.inFlight)) {
		f := g.inFlight[name]
		if !now.Before(f.expires) {
			delete(g.inFlight, name)
			s.retryFetch(f.id)
		}
	}
	outdated := g.offer.Version <= s.acceptor.Version()
	if outdated || g.failures > maxFetchFailures || !now.Before(g.deadline) {
		s.service.folderFetch = nil
		s.service.config.failed(now, s.jitter)
	}
}
