package dissemination

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// startTimeout limits how long a new daemon queries peers before it serves.
	startTimeout = 3 * time.Second
	// recheckTimeout limits the check of the state after a pause.
	recheckTimeout = time.Second
	// pauseThreshold is the gap between events, including ticks, from which a daemon
	// counts as paused. The gap is measured on the clock that advanced further.
	pauseThreshold = 2 * time.Second
	// startAnswers is the number of peers that must respond before a new daemon
	// serves. Until a daemon serves, it also starts up to this number of exchanges
	// at once.
	startAnswers = 3
)

type phaseKind uint8

const (
	starting phaseKind = iota
	rechecking
	serving
)

// phase determines whether the daemon may serve. A new daemon waits for the
// responses of several peers, since the service alone may be stale. After a pause
// one response is enough.
type phase struct {
	kind phaseKind
	// deadline is when the daemon serves with the state that it has. It is zero
	// before the first event.
	deadline time.Time
	// answeredPeers holds the ids of the peers that have a configuration and have
	// responded since the phase began. serviceAnswered reports whether the
	// configuration service has responded.
	answeredPeers   map[string]bool
	serviceAnswered bool
}

func (p *phase) begin(kind phaseKind, deadline time.Time) {
	*p = phase{kind: kind, deadline: deadline, answeredPeers: make(map[string]bool)}
}

// beginEvent starts the handling of an event. A pause is detected at the first
// event after it, so that messages that arrived during the pause are not taken for
// current ones.
func (s *Disseminator) beginEvent(now time.Time) *actions {
	out := &actions{}
	gap := membership.Elapsed(s.lastEvent, now)
	first := s.lastEvent.IsZero()
	s.lastEvent = now
	switch {
	case first:
		s.startAt = now
		s.phase.begin(starting, now.Add(startTimeout))
	case gap >= pauseThreshold:
		s.counts.Pauses++
		s.recheck(now, gap, out)
	}
	return out
}

// recheck starts the check after a pause. It discards the requests that were in
// flight before the pause.
func (s *Disseminator) recheck(now time.Time, gap time.Duration, out *actions) {
	s.service.reset(now)
	s.gossip.reset(now)
	switch s.phase.kind {
	case starting:
		s.phase.begin(starting, now.Add(startTimeout))
		return
	case serving:
		out.add(NotReady{Gap: gap})
	}
	s.phase.begin(rechecking, now.Add(recheckTimeout))
}

func (s *Disseminator) advancePhase(now time.Time, out *actions) {
	if s.phase.kind == serving || s.acceptor.Catalog() == nil || s.newerPending() {
		return
	}
	confirmed := s.phaseConfirmed()
	if !confirmed && now.Before(s.phase.deadline) {
		return
	}
	s.phase.kind = serving
	out.add(Ready{Confirmed: confirmed})
}

// newerPending reports whether a peer or the service is known to have a newer
// configuration and there is time left in the phase to obtain it.
func (s *Disseminator) newerPending() bool {
	newer := len(s.gossip.pullCandidates) > 0 || s.service.folderFetch != nil
	return newer && s.lastEvent.Before(s.phase.deadline)
}

func (s *Disseminator) phaseConfirmed() bool {
	if s.phase.kind == rechecking {
		return s.phase.serviceAnswered || len(s.phase.answeredPeers) > 0
	}
	peers := len(s.topology.ownZone) + len(s.topology.otherZones)
	if peers == 0 {
		return s.list != nil && s.phase.serviceAnswered
	}
	return len(s.phase.answeredPeers) >= min(startAnswers, peers)
}
