package dissemination

import (
	"math"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// watchWait is how long a reader's watch waits for a change.
	watchWait = 2 * time.Second
	// watchTimeoutMargin is the time beyond the wait after which a watch counts as
	// lost.
	watchTimeoutMargin = time.Second
	// minWatchInterval is the pause between two watches, so that changes in quick
	// succession are read together.
	minWatchInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff limit the back-off after failed reads. The back-off
	// after failed exchanges begins with minBackoff, too.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// bootstrapWindow is the time over which new daemons that know seeds spread
	// their first read of the list. Within it, the fraction of daemons that have
	// read doubles bootstrapDoublings times.
	bootstrapWindow    = 2 * time.Second
	bootstrapDoublings = 8

	// fallbackAfter is the age of the last confirmed read from which a daemon that
	// isn't a reader reads the platform itself.
	fallbackAfter = 6 * time.Second
	// minFallbackInterval is the minimum time between two fallback reads of one
	// daemon.
	minFallbackInterval = 4 * time.Second
	// zoneFallbackInterval is the minimum mean interval of all fallback reads of a
	// zone. It is multiplied by the number of daemons in the zone, so that the rate
	// doesn't depend on the zone's size.
	zoneFallbackInterval = time.Second
	// fleetFallbackInterval is the same for isolated daemons, over the whole fleet.
	fleetFallbackInterval = 20 * time.Millisecond
	// isolatedAfter is the time without a message from any peer after which a
	// daemon counts as isolated.
	isolatedAfter = 5 * time.Second
)

// watchState is the state of one kind of periodic read of the platform.
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

// succeeded reports whether seq is the read in flight, and if so ends it. It
// doesn't reset failures, since the response may turn out to be unusable.
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
	// fallbackAt is when a daemon that isn't a reader may read next.
	fallbackAt  time.Time
	folderFetch *folderFetch
	fetchBucket tokenBucket
}

// reset discards the reads in flight and makes new ones due at once.
func (s *service) reset(now time.Time) {
	s.config = watchState{next: now}
	s.list = watchState{next: now}
	s.folderFetch = nil
}

// jitter returns a random duration between d/2 and d.
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

// bootstrap reads the VM list, which determines the readers. A daemon that is
// itself a seed, or that has no seeds, reads at once; the others query the seeds
// first. To avoid that all daemons of a large fleet read when they start at the
// same time, the probability density of the time of the first read grows
// exponentially: few daemons read early, and most others receive the list from a
// peer before their own read is due (Nonnenmacher and Biersack, "Scalable
// feedback for large groups", 1999).
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

// readAsFallback reads the platform if the readers seem to have failed. Its rate
// is limited so that the reads of all daemons together don't grow with their
// number.
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

// fallbackInterval returns the minimum time between two fallback reads of this
// daemon.
func (s *Disseminator) fallbackInterval(now time.Time) time.Duration {
	zone := time.Duration(len(s.topology.ownZone) + 1)
	fleet := zone + time.Duration(len(s.topology.otherZones))
	if now.Sub(s.gossip.lastReceived) > isolatedAfter {
		return max(minFallbackInterval, fleet*fleetFallbackInterval)
	}
	return max(minFallbackInterval, zone*zoneFallbackInterval)
}

// OnFolder reports the index of a folder version that the service returned. The
// result of a watch that has already timed out is used as well, but doesn't count
// as a current response.
func (s *Disseminator) OnFolder(now time.Time, seq Seq, version uint64, index []catalog.FileRevision) []Action {
	out := s.beginEvent(now)
	s.completeConfigWatch(now, seq)
	s.startFolderFetch(now, version, index, out)
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

// OnList reports a VM list that the platform returned. The list must not be
// modified afterwards.
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

// OnListUnchanged reports that the platform had no newer list when the wait
// ended.
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

// expireRequests ends the requests whose result was not reported in time.
func (s *Disseminator) expireRequests(now time.Time) {
	for _, c := range []*watchState{&s.service.config, &s.service.list} {
		if c.inFlight && !now.Before(c.expires) {
			c.failed(now, s.jitter)
		}
	}
	s.expireFolderFetch(now)
	s.expirePeerRequests(now)
}

// afterEvent starts the follow-up actions of an event without waiting for the
// next tick.
func (s *Disseminator) afterEvent(now time.Time, out *actions) {
	s.notifyNeighbours(now, out)
	s.pull(now, out)
	s.advancePhase(now, out)
}
