package metadata

import "time"

func (s *State) applyEvacuation(now time.Duration, c Change, events []Event) []Event {
	if _, known := s.evacuationRev[c.Name]; known && s.isCopied(c) {
		if _, evacuated := s.evacuated[c.Name]; evacuated {
			s.evacuated[c.Name] = c.Revision
		}
		return events
	}
	// As in applyUpstream, a deletion applies at the same revision, too.
	if c.Revision < s.evacuationRev[c.Name] || c.Revision == s.evacuationRev[c.Name] && !c.Deleted {
		return events
	}
	s.evacuationRev[c.Name] = c.Revision
	delete(s.unwritten, c.Name)
	if c.Deleted {
		return s.endEvacuation(now, c.Name, c.Revision, events)
	}
	if _, known := s.evacuated[c.Name]; !known {
		events = append(events, Event{Subject: SubjectEvacuation, Name: c.Name, Kind: "evacuated"})
	}
	s.evacuated[c.Name] = c.Revision
	return events
}

func (s *State) endEvacuation(now time.Duration, zone string, revision int64, events []Event) []Event {
	_, known := s.evacuated[zone]
	delete(s.evacuated, zone)
	s.removals.add(now, removal{subject: SubjectEvacuation, name: zone, revision: revision})
	if !known {
		return events
	}
	return append(events, Event{Subject: SubjectEvacuation, Name: zone, Kind: "returned"})
}
