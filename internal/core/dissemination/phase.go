package dissemination

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// startWait bounds how long a new daemon asks before it serves.
	startWait = 3 * time.Second
	// recheckWait bounds how long a daemon asks after a pause.
	recheckWait = time.Second
	// pauseLimit is the gap between events, ticks included, from which a daemon
	// counts as paused, on whichever clock moved further.
	pauseLimit = 2 * time.Second
	// startAnswers is how many peers a new daemon hears before it serves.
	startAnswers = 3
)

type phaseKind uint8

const (
	starting phaseKind = iota
	checking
	serving
)

// phase tells whether the daemon may serve. A new daemon asks several peers,
// since the service alone may be stale. After a pause one answer is enough.
type phase struct {
	kind phaseKind
	// until is when the daemon serves with what it has. It is zero before the
	// first tick.
	until time.Time
	// answered holds the peers that answered since the phase began and had a
	// configuration. Service tells whether the configuration service answered.
	answered map[string]bool
	service  bool
}

func (p *phase) begin(kind phaseKind, until time.Time) {
	*p = phase{kind: kind, until: until, answered: make(map[string]bool)}
}

// begin starts the handling of an event. A pause is noticed at the first event
// after it, so that what arrived meanwhile isn't taken for new.
func (s *Disseminator) begin(now time.Time) *actions {
	out := &actions{}
	gap := membership.Elapsed(s.lastEvent, now)
	first := s.lastEvent.IsZero()
	s.lastEvent = now
	switch {
	case first:
		s.startAt = now
		s.phase.begin(starting, now.Add(startWait))
	case gap >= pauseLimit:
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
		s.phase.begin(starting, now.Add(startWait))
		return
	case serving:
		out.add(NotReady{Gap: gap})
	}
	s.phase.begin(checking, now.Add(recheckWait))
}

func (s *Disseminator) advancePhase(now time.Time, out *actions) {
	if s.phase.kind == serving || s.acceptor.Catalog() == nil || s.pulling() {
		return
	}
	confirmed := s.confirmed()
	if !confirmed && now.Before(s.phase.until) {
		return
	}
	s.phase.kind = serving
	out.add(Ready{Confirmed: confirmed})
}

// pulling tells whether a peer or the service is known to hold something newer
// that can still be had within the phase.
func (s *Disseminator) pulling() bool {
	newer := len(s.gossip.ahead) > 0 || s.service.gather != nil
	return newer && s.lastEvent.Before(s.phase.until)
}

func (s *Disseminator) confirmed() bool {
	if s.phase.kind == checking {
		return s.phase.service || len(s.phase.answered) > 0
	}
	peers := len(s.topology.zone) + len(s.topology.others)
	if peers == 0 {
		return s.list != nil && s.phase.service
	}
	return len(s.phase.answered) >= min(startAnswers, peers)
}
