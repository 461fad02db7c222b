package dissemination

import (
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

const (
	// folderFetchTimeout limits the time for reading the files of one version.
	folderFetchTimeout = 30 * time.Second
	// fetchesInFlight is the maximum number of files read concurrently.
	fetchesInFlight = 8
	// fetchRate, in files per second, and fetchBurst, in files, limit the reads of
	// files.
	fetchRate  = 20
	fetchBurst = 64
	// fetchTimeout limits the time for reading one file.
	fetchTimeout = 2 * time.Second
	// maxFetchFailures is the maximum number of failed file reads of one folder
	// fetch.
	maxFetchFailures = 16
)

// tokenBucket limits the rate of file reads. It starts full.
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

// folderFetch is the state of reading the files of one folder version from the
// service.
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

// startFolderFetch starts fetching the files of a version, or offers the version
// at once if no file is missing. It reuses the files of an unfinished fetch.
func (s *Disseminator) startFolderFetch(now time.Time, version uint64, index []catalog.FileRevision, out *actions) {
	o := catalog.Offer{Version: version, Index: index, Source: catalog.Source{Kind: catalog.FromService}}
	if g := s.service.folderFetch; g != nil {
		o.Files = g.offer.Files
	}
	s.service.folderFetch = nil
	s.offerOrFetch(now, o, out)
}

// offerOrFetch offers o to the acceptor. If files are missing, it starts fetching
// them instead.
func (s *Disseminator) offerOrFetch(now time.Time, o catalog.Offer, out *actions) {
	missing := s.missingFiles(o)
	if len(missing) == 0 {
		s.service.folderFetch = nil
		d := s.offer(o, out)
		if d.Outcome == catalog.Refused || d.Outcome == catalog.Incomplete {
			// The service would return the same version at once, so back off.
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

// missingFiles returns the file revisions of o that are neither included in it nor
// in the accepted file set. It returns none for an outdated offer, so that the
// acceptor counts and ignores it.
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

// OnFetchedFile reports a file that the service returned.
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
		// The folder has a newer version. Read its index, which will name this
		// revision.
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

// OnFetchError reports that a file could not be read. Gone is set if the service
// doesn't have the file any more.
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

// retryFetch appends a file to the pending ones after a failure. It is read again
// when the token bucket permits. After more than maxFetchFailures failures the
// folder fetch is canceled and the watch restarts.
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
	// Sorted, so that runs with the same seed are identical.
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
