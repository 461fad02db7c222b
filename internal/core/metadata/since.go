package metadata

import (
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// removalRetention is how long removals are kept for VMs that follow this one.
const removalRetention = 30 * time.Second

// removal is the removal of an item at a revision.
type removal struct {
	subject  Subject
	name     string
	revision int64
	at       time.Duration
}

// removals is the list of recent removals, oldest first. Removals up to the
// revision horizon may be missing.
type removals struct {
	list    []removal
	horizon int64
}

func (r *removals) add(now time.Duration, x removal) {
	x.at = now
	r.list = append(r.list, x)
	for len(r.list) > 0 && now-r.list[0].at > removalRetention {
		r.horizon = max(r.horizon, r.list[0].revision)
		r.list = r.list[1:]
	}
}

// includes reports whether an item was removed at the revision or a later one. Removals
// before removalRetention aren't known any more.
func (r *removals) includes(subject Subject, name string, revision int64) bool {
	for _, x := range r.list {
		if x.subject == subject && x.name == name && x.revision >= revision {
			return true
		}
	}
	return false
}

// recordFullRead raises the horizon to the newest revision of a full read.
// Items that were added and removed before the read were never seen by this VM,
// so followers with an older revision need a full batch, too. Later pages of
// the read may be newer than its revision.
func (r *removals) recordFullRead(full Batch) {
	r.horizon = max(r.horizon, full.Revision)
	for _, c := range full.Changes {
		r.horizon = max(r.horizon, c.Revision)
	}
}

// isContentChange reports whether u differs from old in more than a remaining
// warm-up time that has decreased, and so is more than a heartbeat.
func isContentChange(old, u routetable.Upstream) bool {
	warmer := u.Cold > 0 && u.Cold <= old.Cold
	if warmer {
		u.Cold = old.Cold
	}
	return u != old
}

// ChangesSince returns the changes that a VM at a position lacks. Heartbeats are
// omitted. A VM that doesn't know eras states none.
func (s *State) ChangesSince(now time.Duration, from Position) Batch {
	after := from.Revision
	otherEra := from.Era != 0 && from.Era != s.era
	b := Batch{Revision: s.revision, Era: s.era, Full: after == 0 || after < s.removals.horizon || otherEra}
	if b.Full {
		after = 0
	}
	if s.table != nil && (s.configRev > after || b.Full) {
		c := s.table.Config
		b.Changes = append(b.Changes, Change{Subject: SubjectConfig, Revision: s.configRev, Config: &c})
	}
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[name]; e.contentRevision > after {
			c := Change{
				Subject: SubjectUpstream, Name: name, Revision: e.revision, ContentRevision: e.contentRevision,
				Upstream: e.upstream, Err: e.err,
			}
			if e.isHeld() {
				c.Deleted, c.Hold = true, max(e.heldUntil-now, time.Nanosecond)
			}
			b.Changes = append(b.Changes, c)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.evacuations)) {
		if c, ok := s.evacuations[zone].change(now, zone, after, b.Full); ok {
			b.Changes = append(b.Changes, c)
		}
	}
	if !b.Full {
		for _, r := range s.removals.list {
			if r.revision > after {
				b.Changes = append(b.Changes, Change{Subject: r.subject, Name: r.name, Revision: r.revision, Deleted: true})
			}
		}
	}
	return b
}
