package dissemination

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// startTimeout bounds how long a new daemon asks before it serves.
	startTimeout = 3 * time.Second
	// recheckTimeout bounds how long a daemon asks after a pause.
	recheckTimeout = time.Second
	// pauseThreshold is the gap between events, ticks included, from which a daemon
	// counts as paused, on whichever clock moved further.
	pauseThreshold = 2 * time.Second
	// startAnswers is how many peers a new daemon hears before it serves.
	startAnswers = 3
)

type phaseKind uint8

const (
	starting phaseKind = iota
	rechecking
	serving
)

// phase tells whether the daemon may serve. A new daemon asks several peers,
// since the service alone may be stale. After a pause one answer is enough.
type phase struct {
	kind phaseKind
	// deadline is when the daemon serves with what it has. It is zero before the
	// first tick.
	deadline time.Time
	// answeredPeers holds the peers that answeredPeers since the phase began and had a
	// configuration. Service tells whether the configuration service answeredPeers.
	answeredPeers   map[string]bool
	serviceAnswered bool
}

func (p *phase) begin(kind phaseKind, until time.Time) {
	*p = phase{kind: kind, deadline: until, answeredPeers: make(map[string]bool)}
}

// beginEvent starts the handling of an event. A pause is noticed at the first event
// after it, so that what arrived meanwhile isn't taken for new.
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

// recheck begins the check after a pause. Answers to what was asked before the
// pause are not waited for.
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

// newerPending tells whether a peer or the service is known to hold something newer
// that can still be had within the phase.
func (s *Disseminator) newerPending() bool {
	newer := len(s.gossip.ahead) > 0 || s.service.folderFetch != nil
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
