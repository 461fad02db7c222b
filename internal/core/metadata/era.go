package metadata

import "time"

// An era of the store begins when the store comes back from an older copy. What it had
// acknowledged after that copy is lost, and its revisions go back and are given out again,
// so that revisions of two eras can't be compared. Operators and upstreams then write
// their items again.

// Position is how far a VM has received the store's changes.
type Position struct {
	// Era is 0 if the store doesn't state it.
	Era, Revision int64
}

// Position returns the position from which the next read of changes continues. Its
// revision is 0 if a full read is due.
func (s *State) Position() Position { return Position{Era: s.era, Revision: s.revision} }

// EraCheck is whether a batch can be applied.
type EraCheck uint8

// The results of State.CheckEra.
const (
	EraCurrent EraCheck = iota
	// EraOlder is a batch of an earlier era, which must not be applied.
	EraOlder
	// EraNewer is a batch of changes of a later era, which begins with a full batch.
	EraNewer
)

// CheckEra reports whether a batch can be applied. Batches of VMs that don't know eras
// count as current until the VM has seen an era begin.
func (s *State) CheckEra(b Batch) EraCheck {
	switch {
	case !s.synced || s.era == 0 || b.Era == s.era || b.Era == 0 && !s.eraBegan:
		return EraCurrent
	case b.Era < s.era:
		return EraOlder
	case !b.Full:
		return EraNewer
	}
	return EraCurrent
}

// itemKey identifies an item other than the configuration.
type itemKey struct {
	subject Subject
	name    string
}

// enterEra records the era of a batch, and begins a new one if it is later.
func (s *State) enterEra(now time.Duration, b Batch, events []Event) []Event {
	if b.Era <= s.era {
		return events
	}
	begins := s.synced && s.era > 0
	s.era = b.Era
	if !begins {
		return events
	}
	s.eraBegan, s.eraBeganAt, s.recoveredAt = true, now, now
	s.revision, s.configRev = 0, 0
	s.removals = removals{}
	s.renewHolds(now)
	for _, e := range s.entries {
		e.revision, e.contentRevision = 0, 0
	}
	s.copied = map[itemKey]int64{}
	for _, c := range b.Changes {
		if c.Subject != SubjectConfig && !c.Deleted {
			s.copied[itemKey{c.Subject, c.Name}] = c.Revision
		}
	}
	return append(events, Event{Subject: SubjectConfig, Kind: "era_began"})
}

// isCopied reports whether a change is an item of the copy with which the era began. What
// this VM has learned since the copy was made is newer, so such an item adds or changes
// nothing until it is written again.
func (s *State) isCopied(c Change) bool {
	key := itemKey{c.Subject, c.Name}
	revision, ok := s.copied[key]
	if ok && (c.Deleted || c.Revision != revision) {
		delete(s.copied, key)
		return false
	}
	return ok
}

// holdEvacuation reports whether an evacuation that the copy lacks remains in force, as
// the operators haven't had time to write it again.
func (s *State) holdEvacuation(now time.Duration) bool {
	return s.eraBegan && now-s.eraBeganAt < s.HoldPeriod
}

// expireEvacuations ends the evacuations that haven't been written again in time.
func (s *State) expireEvacuations(now time.Duration, events []Event) []Event {
	for zone, revision := range s.unwritten {
		if !s.holdEvacuation(now) {
			delete(s.unwritten, zone)
			events = s.endEvacuation(now, zone, revision, events)
		}
	}
	return events
}
