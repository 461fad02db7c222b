package dissemination

import (
	"math"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// watchWait is how long a reader's watch waits for news.
	watchWait = 2 * time.Second
	// watchTimeoutMargin is added to the wait before a watch counts as lost.
	watchTimeoutMargin = time.Second
	// minWatchInterval separates two watches, so that quick changes are read together.
	minWatchInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after failed reads.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// bootstrapWindow is the time over which new daemons that know seeds spread
	// their first read of the list, and bootstrapDoublings how often the share
	// that reads doubles within it.
	bootstrapWindow    = 2 * time.Second
	bootstrapDoublings = 8

	// fallbackAfter is the age of the last confirmed read from which a daemon
	// that is no reader reads by itself.
	fallbackAfter = 6 * time.Second
	// minFallbackInterval separates the fallback reads of one daemon.
	minFallbackInterval = 4 * time.Second
	// zoneFallbackInterval is multiplied by the daemons of the zone, so that the fallback
	// reads of a zone stay below one in this time, however large it is.
	zoneFallbackInterval = time.Second
	// fleetFallbackInterval does the same for daemons that hear no peer, over the fleet.
	fleetFallbackInterval = 20 * time.Millisecond
	// isolatedAfter is the silence of all peers from which a daemon counts
	// itself as isolated.
	isolatedAfter = 5 * time.Second
)

// watchState is one kind of read that is repeated.
type watchState struct {
	inFlight bool
	seq      Seq
	sentAt   time.Time
	wait     time.Duration
	expires  time.Time
	next     time.Time
	failures int
}

func (c *watchState) due(now time.Time) bool { return !c.inFlight && !now.Before(c.next) }

func (c *watchState) start(now time.Time, seq Seq, wait time.Duration) {
	c.inFlight = true
	c.seq = seq
	c.sentAt = now
	c.wait = wait
	c.expires = now.Add(wait + watchTimeoutMargin)
}

// succeeded tells whether seq is the call in flight, and if so ends it. The
// failures before still count if the answer turns out to be of no use.
func (c *watchState) succeeded(now time.Time, seq Seq) bool {
	if !c.inFlight || c.seq != seq {
		return false
	}
	c.inFlight = false
	c.next = now.Add(minWatchInterval)
	return true
}

func (c *watchState) failed(now time.Time, jitter func(time.Duration) time.Duration) {
	c.inFlight = false
	backoff := min(minBackoff<<min(c.failures, 8), maxBackoff)
	c.failures++
	c.next = now.Add(jitter(backoff))
}

// service is the state of the reads of the platform.
type service struct {
	config, list watchState
	// fallbackAt is when a daemon that is no reader may read next.
	fallbackAt  time.Time
	folderFetch *folderFetch
	fetchBucket tokenBucket
}

// reset forgets the reads in flight, and reads again at once.
func (s *service) reset(now time.Time) {
	s.config = watchState{next: now}
	s.list = watchState{next: now}
	s.folderFetch = nil
}

// jitter returns a time between half of d and d.
func (s *Disseminator) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

func (s *Disseminator) readPlatform(now time.Time, out *actions) {
	switch {
	case s.list == nil:
		s.bootstrap(now, out)
	case s.IsReader():
		s.watchConfig(now, watchWait, out)
		s.watchList(now, watchWait, out)
	default:
		s.readAsFallback(now, out)
	}
}

// bootstrap reads the list, which tells who the readers are. A daemon that is
// itself a seed reads at once, the others ask the seeds first. So that not all
// of a large fleet read when all start at once, the time of their first read
// has a density that grows exponentially: few read early, and the others mostly
// hear before their turn (Nonnenmacher and Biersack, "Scalable feedback for
// large groups", 1999).
func (s *Disseminator) bootstrap(now time.Time, out *actions) {
	if s.service.list.next.IsZero() {
		s.service.list.next = now
		if len(s.topology.byID) > 0 && !s.isSeed {
			delayFraction := 1 + math.Log2(1-s.rng.Float64())/bootstrapDoublings
			s.service.list.next = now.Add(time.Duration(max(delayFraction, 0) * float64(bootstrapWindow)))
		}
	}
	s.watchList(now, 0, out)
}

func (s *Disseminator) watchConfig(now time.Time, wait time.Duration, out *actions) {
	c := &s.service.config
	if !c.due(now) || s.service.folderFetch != nil {
		return
	}
	c.start(now, s.nextSeq(), wait)
	s.counts.Reads++
	out.add(WatchConfig{Seq: c.seq, Since: s.acceptor.Version(), Wait: wait})
}

func (s *Disseminator) watchList(now time.Time, wait time.Duration, out *actions) {
	c := &s.service.list
	if !c.due(now) {
		return
	}
	c.start(now, s.nextSeq(), wait)
	s.counts.Reads++
	var since uint64
	if s.list != nil {
		since = s.list.Revision
	}
	out.add(WatchList{Seq: c.seq, Since: since, Wait: wait})
}

// readAsFallback reads when no reader seems to. Its rate is set so that the reads of
// all daemons together don't grow with their number.
func (s *Disseminator) readAsFallback(now time.Time, out *actions) {
	lastConfirmed := s.confirmedAt
	if lastConfirmed.IsZero() {
		lastConfirmed = s.startAt
	}
	if now.Sub(lastConfirmed) < fallbackAfter {
		s.service.fallbackAt = time.Time{}
		return
	}
	if s.service.fallbackAt.IsZero() {
		s.service.fallbackAt = now.Add(time.Duration(s.rng.Int64N(int64(s.fallbackInterval(now)))))
	}
	if now.Before(s.service.fallbackAt) {
		return
	}
	s.service.fallbackAt = now.Add(s.jitter(2 * s.fallbackInterval(now)))
	s.counts.Fallbacks++
	s.watchConfig(now, 0, out)
	s.watchList(now, 0, out)
}

// fallbackInterval returns the mean time between fallback reads.
func (s *Disseminator) fallbackInterval(now time.Time) time.Duration {
	zone := time.Duration(len(s.topology.ownZone) + 1)
	fleet := zone + time.Duration(len(s.topology.otherZones))
	if now.Sub(s.gossip.lastReceived) > isolatedAfter {
		return max(minFallbackInterval, fleet*fleetFallbackInterval)
	}
	return max(minFallbackInterval, zone*zoneFallbackInterval)
}

// OnFolder reports a folder version that the service gave: every name with its
// revision. The answer to an abandoned watch is taken too, but proves nothing
// about the present.
func (s *Disseminator) OnFolder(now time.Time, seq Seq, version uint64, all []catalog.FileRevision) []Action {
	out := s.beginEvent(now)
	s.completeConfigWatch(now, seq)
	s.startFolderFetch(now, version, all, out)
	s.fetchFiles(now, out)
	s.afterEvent(now, out)
	return out.list
}

// OnFolderUnchanged reports that the service has no newer version.
func (s *Disseminator) OnFolderUnchanged(now time.Time, seq Seq) []Action {
	out := s.beginEvent(now)
	s.completeConfigWatch(now, seq)
	s.service.config.failures = 0
	s.afterEvent(now, out)
	return out.list
}

func (s *Disseminator) completeConfigWatch(now time.Time, seq Seq) {
	if s.service.config.succeeded(now, seq) {
		s.phase.serviceAnswered = true
	}
}

// OnList reports a VM list that the platform gave. The list must not change
// afterwards.
func (s *Disseminator) OnList(now time.Time, seq Seq, list *membership.List) []Action {
	out := s.beginEvent(now)
	current := s.service.list.succeeded(now, seq)
	s.service.list.failures = 0
	s.adoptList(list, out)
	if current && s.list != nil && list.Revision == s.list.Revision {
		s.confirmList(s.service.list.sentAt, out)
	}
	s.afterEvent(now, out)
	return out.list
}

// OnListUnchanged reports that the platform had no newer list when the wait was
// over.
func (s *Disseminator) OnListUnchanged(now time.Time, seq Seq) []Action {
	out := s.beginEvent(now)
	c := &s.service.list
	c.failures = 0
	if c.succeeded(now, seq) && s.list != nil {
		s.confirmList(earlierOf(now, c.sentAt.Add(c.wait)), out)
	}
	s.afterEvent(now, out)
	return out.list
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// OnWatchError reports that a watch failed or timed out.
func (s *Disseminator) OnWatchError(now time.Time, seq Seq) []Action {
	out := s.beginEvent(now)
	for _, c := range []*watchState{&s.service.config, &s.service.list} {
		if c.inFlight && c.seq == seq {
			c.failed(now, s.jitter)
		}
	}
	return out.list
}

// expireRequests drops what was never reported.
func (s *Disseminator) expireRequests(now time.Time) {
	for _, c := range []*watchState{&s.service.config, &s.service.list} {
		if c.inFlight && !now.Before(c.expires) {
			c.failed(now, s.jitter)
		}
	}
	s.expireFolderFetch(now)
	s.expirePeerRequests(now)
}

// afterEvent does what an event may have made possible before the next tick.
func (s *Disseminator) afterEvent(now time.Time, out *actions) {
	s.notifyNeighbours(now, out)
	s.pull(now, out)
	s.advancePhase(now, out)
}
