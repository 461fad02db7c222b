// Package metadata holds this VM's copy of the metadata store: the
// configuration, the announced upstreams and the evacuated zones, each with the
// store's revision. It is used by `ryecourse gateway`.
//
// Upstreams announce themselves in the store, and their announcements expire
// unless they are repeated. A heartbeat is an announcement without a change other
// than a decreased warm-up time. An upstream is held, that is kept for a while
// although its announcement was deleted, if the announcement may have expired only
// because the store was unreachable. The upstreams of an evacuated zone get no
// requests. An item's revision is that of its last write in the store. A
// configuration also has a version, which is part of its content.
//
// A VM reads the store itself, or is a follower of other VMs, its readers: it reads
// the changes that they have received. If its readers fail, it reads the store, and
// if that fails as well, some other VM, the fallback peer.
//
// The package has no I/O. It ignores older revisions of the configuration, of a
// present upstream and of a zone's evacuation. The revision of a removed upstream
// isn't kept: an older announcement adds it again.
package metadata

import (
	"errors"
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Subject is the type of the item that a change is about.
type Subject uint8

// The types of items.
const (
	SubjectConfig Subject = iota + 1
	SubjectUpstream
	SubjectEvacuation
)

// String returns the name that is used in logs and in keys of items.
func (s Subject) String() string {
	switch s {
	case SubjectConfig:
		return "config"
	case SubjectUpstream:
		return "upstream"
	case SubjectEvacuation:
		return "evacuation"
	}
	return "unknown"
}

// Change is a write or deletion of one item of the store.
type Change struct {
	Subject Subject
	// Name is the upstream's ID or the zone; empty for the configuration.
	Name     string
	Revision int64
	// ContentRevision is the revision of an upstream's last change other than a
	// heartbeat. It is set only in batches from other VMs.
	ContentRevision int64
	Deleted         bool
	// Hold is how long a deleted upstream stays in use, because its
	// announcement may have expired only while the store was unreachable. For an
	// evacuation that the store has lost it is how long it stays in force, and for
	// a deleted one how long until it comes into force (see evacuation). It is set
	// only in batches from other VMs.
	Hold time.Duration
	// Config and Upstream hold the value for their subject.
	Config   *routetable.Config
	Upstream routetable.Upstream
	// Err is set if the value is invalid.
	Err error
}

// Batch is the response to one read of the store or of another VM.
type Batch struct {
	Changes []Change
	// Revision is the store's revision up to which the batch is complete.
	Revision int64
	// Era is the store's era; 0 if it isn't known.
	Era int64
	// Full is set if the batch contains every item.
	Full bool
	// Age is the time since the source last confirmed its data with the store;
	// 0 for the store itself.
	Age time.Duration
	// Unconfirmed is set if the sender has started and doesn't know whether its configuration
	// is the newest.
	Unconfirmed bool
	// FromFallbackPeer is set if the sender is a fallback peer, which is read
	// when the store has failed. The batch then proves only that the store
	// responded Age ago. A batch of the store or of a reader counts as a sign
	// that the store responds now, whatever its age: a reader whose data is too
	// old isn't used.
	FromFallbackPeer bool
}

// View is an immutable snapshot of the metadata.
type View struct {
	Table *routetable.Table
	// ConfigRevision is the store's revision of the configuration.
	ConfigRevision int64
	// Upstreams holds the instances with valid announcements and the held ones,
	// by service.
	Upstreams map[string][]routetable.Upstream
	Evacuated map[string]bool
}

// ErrOlderConfig is the error of a configuration that is ignored because its
// version is lower than that of the active one.
var ErrOlderConfig = errors.New("version is lower than the active one")

// entry is the state of one upstream.
type entry struct {
	revision int64
	// contentRevision is the revision of the last change other than a heartbeat.
	contentRevision int64
	err             error
	upstream        routetable.Upstream
	usable          bool
	// heldUntil is when a hold ends; 0 without a hold. The entry was then deleted
	// in the store but is kept, because its announcement may have expired only
	// while the store was unreachable. The field revision is that of the deletion.
	heldUntil time.Duration
}

func (e *entry) isHeld() bool { return e.heldUntil > 0 }

// State applies batches to this VM's copy of the metadata. It isn't safe for
// concurrent use. Times are readings of a clock that keeps running while the VM
// is suspended.
type State struct {
	// OutageThreshold is the time without a response after which announcements
	// may have expired only because the store was unreachable.
	OutageThreshold time.Duration
	// HoldPeriod is how long removed upstreams are kept after such an outage.
	HoldPeriod time.Duration

	revision    int64
	table       *routetable.Table
	configRev   int64
	entries     map[string]*entry
	evacuations map[string]*evacuation // by zone
	removals    removals
	lastContact time.Duration // when the store was last known to respond
	recoveredAt time.Duration // end of the last outage
	synced      bool          // a batch has been applied

	era        int64 // 0: unknown
	eraBegan   bool  // an era has begun since this VM's first batch
	eraBeganAt time.Duration
	entersEra  bool // the batch that is being applied begins an era
	// copied holds the revisions of the era's copied announcements, see findCopied, by ID.
	copied map[string]int64
	// fullReadDue is set if announcements in the copy haven't been written again.
	fullReadDue bool
}

// NewState returns an empty state.
func NewState(outageThreshold, holdPeriod time.Duration) *State {
	return &State{
		OutageThreshold: outageThreshold, HoldPeriod: holdPeriod,
		entries: map[string]*entry{}, evacuations: map[string]*evacuation{},
	}
}

// Event is an effect of a batch, or the end of a hold, for the log. Kind is what
// happened to the item.
type Event struct {
	Subject Subject
	Name    string
	Kind    string
	Err     error
}

// Apply applies a batch that was received at now. CheckEra must have returned EraCurrent
// for it.
func (s *State) Apply(now time.Duration, b Batch) []Event {
	respondedAt := now // when the store is known to have responded
	if b.FromFallbackPeer {
		respondedAt -= b.Age
	}
	if s.synced && respondedAt-s.lastContact > s.OutageThreshold {
		s.recoveredAt = now
		s.renewHolds(now)
	}
	s.lastContact = max(s.lastContact, respondedAt)
	events := s.enterEra(now, b, nil)
	s.synced = true
	for _, c := range b.Changes {
		events = s.applyChange(now, c, events)
	}
	if b.Full {
		events = s.removeMissing(now, b, events)
		s.removals.recordFullRead(b)
		s.fullReadDue = false
	}
	s.entersEra = false
	s.revision = max(s.revision, b.Revision)
	s.expireCopied(now)
	return s.expireEvacuations(now, s.expireHolds(now, events))
}

func (s *State) applyChange(now time.Duration, c Change, events []Event) []Event {
	switch c.Subject {
	case SubjectConfig:
		return s.applyConfig(c, events)
	case SubjectUpstream:
		return s.applyUpstream(now, c, events)
	case SubjectEvacuation:
		return s.applyEvacuation(now, c, events)
	}
	return events
}

func (s *State) applyConfig(c Change, events []Event) []Event {
	// A VM that has kept its configuration over the beginning of an era has no revision for
	// it, so that a higher version counts at any revision.
	isNewer := c.Config != nil && (s.table == nil || c.Config.Version > s.table.Config.Version)
	if c.Deleted || c.Revision <= s.configRev && !isNewer {
		return events
	}
	if c.Err != nil {
		return append(events, Event{Subject: c.Subject, Kind: "rejected", Err: c.Err})
	}
	if s.table != nil && c.Config.Version < s.table.Config.Version {
		return append(events, Event{Subject: c.Subject, Kind: "rejected", Err: ErrOlderConfig})
	}
	s.table, s.configRev = routetable.NewTable(*c.Config), c.Revision
	return append(events, Event{Subject: c.Subject, Kind: "accepted"})
}

func (s *State) applyUpstream(now time.Duration, c Change, events []Event) []Event {
	e := s.entries[c.Name]
	isCopied, isRewritten := s.checkCopied(c)
	if isCopied {
		if e != nil {
			e.revision, e.contentRevision = c.Revision, c.Revision
		}
		return events
	}
	// A deletion applies at the same revision, too: a removal by a full read or by
	// the end of a hold is recorded at a revision that the entry may have.
	if e != nil && (c.Revision < e.revision || c.Revision == e.revision && !c.Deleted) {
		return events
	}
	if c.Deleted {
		return s.applyRemoval(now, c, e, events)
	}
	if e == nil && s.removals.includes(SubjectUpstream, c.Name, c.Revision) {
		return events // of a VM that hasn't seen the removal yet
	}
	if e == nil {
		e = &entry{}
		s.entries[c.Name] = e
	}
	before := *e
	*e = entry{revision: c.Revision, contentRevision: before.contentRevision, upstream: c.Upstream, usable: c.Err == nil, err: c.Err}
	if e.usable != before.usable || before.isHeld() || isRewritten || isContentChange(before.upstream, e.upstream) {
		e.contentRevision = c.Revision
	}
	// The upstream may have been removed and announced again, as the sender
	// knows, while this VM missed the removal.
	e.contentRevision = max(e.contentRevision, c.ContentRevision)
	switch {
	case c.Err != nil && (before.usable || before.revision == 0):
		return append(events, Event{Subject: c.Subject, Name: c.Name, Kind: "unusable", Err: c.Err})
	case e.usable && !before.usable:
		return append(events, Event{Subject: c.Subject, Name: c.Name, Kind: "added"})
	case e.usable && !before.upstream.SameInstance(e.upstream):
		return append(events, Event{Subject: c.Subject, Name: c.Name, Kind: "restarted"})
	case e.usable && before.upstream.Draining != e.upstream.Draining:
		return append(events, Event{Subject: c.Subject, Name: c.Name, Kind: "draining_changed"})
	case e.usable && e.upstream.Cold > before.upstream.Cold:
		return append(events, Event{Subject: c.Subject, Name: c.Name, Kind: "turned_cold"})
	case e.usable && isContentChange(before.upstream, e.upstream):
		return append(events, Event{Subject: c.Subject, Name: c.Name, Kind: "changed"})
	}
	return events
}

func (s *State) applyRemoval(now time.Duration, c Change, e *entry, events []Event) []Event {
	switch {
	case c.Hold > 0 && c.Err == nil:
		return s.hold(c, now+c.Hold, events)
	case e == nil:
		// Recorded for VMs that follow this one and may still have the entry.
		s.dropAndRecord(now, c.Name, c.Revision)
		return events
	}
	return s.removeOrHold(now, c.Name, e, c.Revision, events)
}

// removeOrHold removes an entry, or holds it for a while after an outage.
func (s *State) removeOrHold(now time.Duration, name string, e *entry, revision int64, events []Event) []Event {
	if s.inHoldPeriod(now) && e.usable && !e.upstream.Draining {
		held := Change{Subject: SubjectUpstream, Name: name, Revision: max(e.revision, revision), Upstream: e.upstream}
		return s.hold(held, s.recoveredAt+s.HoldPeriod, events)
	}
	s.dropAndRecord(now, name, revision)
	return append(events, Event{Subject: SubjectUpstream, Name: name, Kind: "removed"})
}

// hold keeps a deleted entry until the given time. A further deletion may shorten
// but not extend a running hold; only a further outage extends it. The event is
// "lapsed": the announcement is gone and the upstream is held.
func (s *State) hold(c Change, until time.Duration, events []Event) []Event {
	if e := s.entries[c.Name]; e != nil && e.isHeld() {
		e.revision, e.contentRevision, e.heldUntil = c.Revision, c.Revision, min(e.heldUntil, until)
		return events
	}
	s.entries[c.Name] = &entry{
		revision: c.Revision, contentRevision: c.Revision, upstream: c.Upstream, usable: true, heldUntil: until,
	}
	return append(events, Event{Subject: SubjectUpstream, Name: c.Name, Kind: "lapsed"})
}

// dropAndRecord removes an upstream and records the removal for followers.
func (s *State) dropAndRecord(now time.Duration, name string, revision int64) {
	delete(s.entries, name)
	s.removals.add(now, removal{subject: SubjectUpstream, name: name, revision: revision})
}

func (s *State) inHoldPeriod(now time.Duration) bool {
	return s.recoveredAt > 0 && now-s.recoveredAt < s.HoldPeriod
}

// renewHolds restarts all holds after a further outage of the store.
func (s *State) renewHolds(now time.Duration) {
	for _, e := range s.entries {
		if e.isHeld() {
			e.heldUntil = now + s.HoldPeriod
		}
	}
}

// expireHolds removes the entries whose hold has ended. A VM that received a hold
// from another VM ends it by its own clock, without a further message.
func (s *State) expireHolds(now time.Duration, events []Event) []Event {
	for name, e := range s.entries {
		if e.isHeld() && now >= e.heldUntil {
			s.dropAndRecord(now, name, e.revision)
			events = append(events, Event{Subject: SubjectUpstream, Name: name, Kind: "removed"})
		}
	}
	return events
}

// removeMissing removes the upstreams and evacuations that a full read lacks. Those
// that are newer than the read are kept.
func (s *State) removeMissing(now time.Duration, b Batch, events []Event) []Event {
	present := map[string]bool{}
	for _, c := range b.Changes {
		if !c.Deleted || c.Hold > 0 {
			present[c.Subject.String()+"/"+c.Name] = true
		}
	}
	for name, e := range s.entries {
		switch {
		case present[SubjectUpstream.String()+"/"+name] || e.revision > b.Revision:
		case e.isHeld():
			// The store lacked the entry at b.Revision. From now on, an older
			// announcement doesn't end the hold.
			e.revision, e.contentRevision = b.Revision, b.Revision
		default:
			events = s.removeOrHold(now, name, e, b.Revision, events)
		}
	}
	for zone, e := range s.evacuations {
		if !present[SubjectEvacuation.String()+"/"+zone] {
			events = s.removeMissingEvacuation(now, zone, e, b, events)
		}
	}
	return events
}

// View returns an immutable copy, or nil while there is no configuration.
func (s *State) View() *View {
	if s.table == nil {
		return nil
	}
	v := &View{
		Table: s.table, ConfigRevision: s.configRev,
		Upstreams: map[string][]routetable.Upstream{},
		Evacuated: map[string]bool{},
	}
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[name]; e.usable {
			v.Upstreams[e.upstream.Service] = append(v.Upstreams[e.upstream.Service], e.upstream)
		}
	}
	for zone, e := range s.evacuations {
		if e.inForce {
			v.Evacuated[zone] = true
		}
	}
	return v
}
