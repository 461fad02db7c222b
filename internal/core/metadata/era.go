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
func (s *State) Position() Position {
	if s.fullReadDue {
		return Position{Era: s.era}
	}
	return Position{Era: s.era, Revision: s.revision}
}

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

// copyPeriod is the time after which an announcement that is in the copy, and hasn't been
// written again, has expired if its upstream has left.
const copyPeriod = 10 * time.Second

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
	s.eraBegan, s.eraBeganAt, s.recoveredAt, s.entersEra = true, now, now, true
	s.copied = s.findCopied(b)
	s.revision, s.configRev, s.fullReadDue = 0, 0, false
	s.removals = removals{}
	s.renewHolds(now)
	for _, e := range s.entries {
		e.revision, e.contentRevision = 0, 0
	}
	for _, e := range s.evacuations {
		e.revision = 0
	}
	return append(events, Event{Subject: SubjectConfig, Kind: "era_began"})
}

// findCopied returns the announcements of the batch with which an era begins that this VM may
// have newer knowledge of. The batch holds the store's copy and what was written since the
// store came back.
func (s *State) findCopied(b Batch) map[string]int64 {
	removed := map[string]bool{} // in the last era, or in the one before
	for id := range s.copied {
		removed[id] = true
	}
	for _, r := range s.removals.list {
		if r.subject == SubjectUpstream {
			removed[r.name] = true
		}
	}
	copied := map[string]int64{}
	for _, c := range b.Changes {
		if c.Subject != SubjectUpstream || c.Deleted || c.Revision > s.revision {
			continue // s.revision is complete up to the last era's end
		}
		if e := s.entries[c.Name]; e == nil && !removed[c.Name] || e != nil && c.supersedes(e) {
			continue
		}
		copied[c.Name] = c.Revision
	}
	return copied
}

// supersedes reports whether an announcement is newer than an entry, whatever their revisions:
// a process that has started later, or that has begun to drain.
func (c Change) supersedes(e *entry) bool {
	if c.Err != nil || !e.usable || c.Upstream.Born < e.upstream.Born {
		return false
	}
	return c.Upstream.Born > e.upstream.Born || c.Upstream.Draining && !e.upstream.Draining
}

// checkCopied reports whether a change is an announcement of the copy with which the era
// began, or the first one that was written after it. What this VM has learned since the copy
// was made is newer, so the copy adds or changes nothing until it is written again.
func (s *State) checkCopied(c Change) (isCopied, isRewritten bool) {
	revision, ok := s.copied[c.Name]
	if ok && (c.Deleted || c.Revision != revision) {
		delete(s.copied, c.Name)
		return false, true
	}
	return ok, false
}

// expireCopied ends the exception for announcements of the copy. A follower doesn't get
// heartbeats, so what other VMs have by now is read in full.
func (s *State) expireCopied(now time.Duration) {
	if len(s.copied) > 0 && now-s.eraBeganAt >= copyPeriod {
		s.copied, s.fullReadDue = nil, true
	}
}
