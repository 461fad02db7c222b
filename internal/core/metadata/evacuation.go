package metadata

import "time"

// evacuation is what this VM knows of a zone's evacuation. An evacuation is written once,
// unlike the announcements of upstreams, so that none may be ignored until it is written
// again.
type evacuation struct {
	// revision is that of the last change in this era; 0 if there was none.
	revision int64
	// written is the revision of the last write, of this era or an earlier one.
	written int64
	inForce bool
	// heldUntil is when an evacuation in force that the store has lost ends, unless it is
	// written again; 0 otherwise.
	heldUntil time.Duration
	// pendingUntil is when an evacuation that had ended, and is in the store again, comes
	// into force, unless it is removed again; 0 otherwise.
	pendingUntil time.Duration
}

func (s *State) applyEvacuation(now time.Duration, c Change, events []Event) []Event {
	e := s.evacuations[c.Name]
	if e == nil {
		e = &evacuation{}
		s.evacuations[c.Name] = e
	}
	// As in applyUpstream, a deletion applies at the same revision, too.
	if c.Revision < e.revision || c.Revision == e.revision && !c.Deleted {
		return events
	}
	// The write that this VM has seen may be in the copy, or its revision was given out
	// again to a new one. Operators remove an evacuation of the copy again.
	seenBefore := s.entersEra && c.Revision == e.written && !c.Deleted
	e.revision, e.pendingUntil = c.Revision, 0
	switch {
	case seenBefore && !e.inForce:
		e.pendingUntil = now + s.HoldPeriod
		return events
	case c.Deleted && c.Hold > 0: // pending on another VM
		if !e.inForce {
			e.pendingUntil = now + c.Hold
		}
		return events
	case c.Deleted:
		return s.endEvacuation(now, c.Name, e, events)
	case c.Hold > 0:
		e.heldUntil = now + c.Hold
	default:
		e.heldUntil, e.written = 0, c.Revision
	}
	return e.begin(c.Name, events)
}

// begin brings the evacuation of a zone into force.
func (e *evacuation) begin(zone string, events []Event) []Event {
	e.pendingUntil = 0
	if e.inForce {
		return events
	}
	e.inForce = true
	return append(events, Event{Subject: SubjectEvacuation, Name: zone, Kind: "evacuated"})
}

// endEvacuation ends the evacuation of a zone and records its removal for followers.
func (s *State) endEvacuation(now time.Duration, zone string, e *evacuation, events []Event) []Event {
	wasInForce := e.inForce
	e.inForce, e.heldUntil, e.pendingUntil = false, 0, 0
	s.removals.add(now, removal{subject: SubjectEvacuation, name: zone, revision: e.revision})
	if !wasInForce {
		return events
	}
	return append(events, Event{Subject: SubjectEvacuation, Name: zone, Kind: "returned"})
}

// removeMissingEvacuation ends an evacuation that a full read lacks. One that the store may
// have lost is held until the operators have had time to write it again.
func (s *State) removeMissingEvacuation(now time.Duration, zone string, e *evacuation, b Batch, events []Event) []Event {
	if e.revision > b.Revision || e.heldUntil > now || !e.inForce && e.pendingUntil == 0 {
		return events
	}
	e.revision = b.Revision
	if e.inForce && s.eraBegan && now-s.eraBeganAt < s.HoldPeriod {
		e.heldUntil = s.eraBeganAt + s.HoldPeriod
		return events
	}
	return s.endEvacuation(now, zone, e, events)
}

// expireEvacuations ends the held evacuations that haven't been written again in time, and
// brings the pending ones into force that haven't been removed again. Followers do so by their
// own clocks.
func (s *State) expireEvacuations(now time.Duration, events []Event) []Event {
	for zone, e := range s.evacuations {
		switch {
		case e.heldUntil > 0 && now >= e.heldUntil:
			e.revision = max(e.revision, s.revision)
			events = s.endEvacuation(now, zone, e, events)
		case e.pendingUntil > 0 && now >= e.pendingUntil:
			e.written = e.revision
			events = e.begin(zone, events)
		}
	}
	return events
}

// change returns the evacuation as a follower gets it, in a full batch or in one of the
// changes after a revision; false if it gets none.
func (e *evacuation) change(now time.Duration, zone string, after int64, full bool) (Change, bool) {
	c := Change{Subject: SubjectEvacuation, Name: zone, Revision: e.revision}
	switch {
	case e.inForce && e.heldUntil > 0:
		c.Hold = max(e.heldUntil-now, time.Nanosecond)
	case e.inForce:
	case full && e.pendingUntil > 0:
		c.Deleted, c.Hold = true, max(e.pendingUntil-now, time.Nanosecond)
	default:
		return Change{}, false
	}
	return c, e.revision > after
}
