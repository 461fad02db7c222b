// Package feed keeps what the VM knows from the metadata store: the
// configuration, the announced upstreams and the evacuated zones, each with the
// store's revision.
//
// The package has no I/O. Nothing in it goes back to an older revision.
package metadata

import (
	"errors"
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Subject is the kind of thing that a change is about.
type Subject uint8

// The subjects of changes.
const (
	SubjectConfig Subject = iota + 1
	SubjectUpstream
	SubjectEvacuation
)

// String returns the name that logs carry.
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

// Change is one item of the store as it was written or deleted.
type Change struct {
	Subject Subject
	// Name is the upstream's ID or the zone; empty for the configuration.
	Name     string
	Revision int64
	// ContentRevision is the revision of an upstream's last change other than a
	// heartbeat. Only other VMs tell it.
	ContentRevision int64
	Deleted         bool
	// Hold is how long a deleted upstream is still used, because its announcement
	// may have run out while the store was away. Only other VMs tell it.
	Hold time.Duration
	// Config and Upstream hold the value of their subject.
	Config   *routetable.Config
	Upstream routetable.Upstream
	// Err tells why the value can't be used.
	Err error
}

// Batch is the answer to one read of the store.
type Batch struct {
	Changes []Change
	// Revision is the store's revision that the batch leads up to.
	Revision int64
	// Full tells that the batch holds every item.
	Full bool
	// Age is how long before the answer the source was known to be current; 0 for
	// the store itself.
	Age time.Duration
	// FromFallbackPeer tells that the sender doesn't read the store for this VM, so that
	// its answer says that the store answered as long ago as its age.
	FromFallbackPeer bool
}

// View is what the VM knows. It is immutable.
type View struct {
	Table *routetable.Table
	// ConfigRevision is the revision of the item with the configuration.
	ConfigRevision int64
	// Upstreams holds the usable instances by service.
	Upstreams map[string][]routetable.Upstream
	Evacuated map[string]bool
}

// ErrOlderConfig tells that a configuration of a lower version was written
// later; it is ignored.
var ErrOlderConfig = errors.New("version is lower than the one in force")

type entry struct {
	revision int64
	// contentRevision is the revision of the last change other than a heartbeat.
	contentRevision int64
	err             error
	upstream        routetable.Upstream
	usable          bool
	// heldUntil is set for an entry that was deleted at revision and is kept for a
	// while, because it may have run out while the store was away.
	heldUntil time.Duration
}

func (e *entry) isHeld() bool { return e.heldUntil > 0 }

// State is the state machine. It isn't safe for concurrent use. Times are
// readings of a clock that goes on during suspension.
type State struct {
	// OutageThreshold is the time without an answer after which removed entries may have
	// lapsed only because the store was away.
	OutageThreshold time.Duration
	// HoldPeriod is how long such entries are kept after the store's return.
	HoldPeriod time.Duration

	revision    int64
	config      *routetable.Table
	configRev   int64
	entries     map[string]*entry
	evacuated   map[string]int64
	zoneRev     map[string]int64
	removals    removals
	lastContact time.Duration
	recoveredAt time.Duration
	synced      bool
}

// NewState returns an empty state.
func NewState(outageThreshold, holdPeriod time.Duration) *State {
	return &State{
		OutageThreshold: outageThreshold, HoldPeriod: holdPeriod,
		entries: map[string]*entry{}, evacuated: map[string]int64{}, zoneRev: map[string]int64{},
	}
}

// Revision is where the next read of changes continues; 0 asks for a full read.
func (s *State) Revision() int64 { return s.revision }

// Event is something that a batch changed in what the VM believes.
type Event struct {
	Subject Subject
	Name    string
	Kind    string
	Err     error
}

// Apply takes in a batch that was answered at now.
func (s *State) Apply(now time.Duration, b Batch) []Event {
	currentAt := now
	if b.FromFallbackPeer {
		currentAt -= b.Age
	}
	if s.synced && currentAt-s.lastContact > s.OutageThreshold {
		s.recoveredAt = now
		s.renewHolds(now)
	}
	s.lastContact = max(s.lastContact, currentAt)
	s.synced = true
	var events []Event
	for _, c := range b.Changes {
		events = s.applyChange(now, c, events)
	}
	if b.Full {
		events = s.removeMissing(now, b, events)
		s.removals.recordFullRead(b)
	}
	s.revision = max(s.revision, b.Revision)
	return s.expireHolds(now, events)
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
	if c.Revision <= s.configRev || c.Deleted {
		return events
	}
	if c.Err != nil {
		return append(events, Event{Subject: c.Subject, Kind: "rejected", Err: c.Err})
	}
	if s.config != nil && c.Config.Version < s.config.Config.Version {
		return append(events, Event{Subject: c.Subject, Kind: "rejected", Err: ErrOlderConfig})
	}
	s.config, s.configRev = routetable.NewTable(*c.Config), c.Revision
	return append(events, Event{Subject: c.Subject, Kind: "accepted"})
}

func (s *State) applyUpstream(now time.Duration, c Change, events []Event) []Event {
	e := s.entries[c.Name]
	if e != nil && (c.Revision < e.revision || c.Revision == e.revision && !c.Deleted) {
		return events
	}
	if c.Deleted {
		return s.applyRemoval(now, c, e, events)
	}
	if e == nil {
		e = &entry{}
		s.entries[c.Name] = e
	}
	before := *e
	*e = entry{revision: c.Revision, contentRevision: before.contentRevision, upstream: c.Upstream, usable: c.Err == nil, err: c.Err}
	if e.usable != before.usable || before.isHeld() || isContentChange(before.upstream, e.upstream) {
		e.contentRevision = c.Revision
	}
	// It may have gone and come back, which the sender has seen and this VM hasn't.
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
		// A VM that follows this one may still have it.
		s.drop(now, c.Name, c.Revision)
		return events
	}
	return s.removeOrHold(now, c.Name, e, c.Revision, events)
}

// removeOrHold takes an entry away, or keeps it for a while after an outage.
func (s *State) removeOrHold(now time.Duration, name string, e *entry, revision int64, events []Event) []Event {
	if s.inHoldPeriod(now) && e.usable && !e.upstream.Draining {
		removal := Change{Subject: SubjectUpstream, Name: name, Revision: max(e.revision, revision), Upstream: e.upstream}
		return s.hold(removal, s.recoveredAt+s.HoldPeriod, events)
	}
	s.drop(now, name, revision)
	return append(events, Event{Subject: SubjectUpstream, Name: name, Kind: "removed"})
}

// hold keeps a deleted entry until a time. A hold that is running isn't extended.
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

func (s *State) drop(now time.Duration, name string, revision int64) {
	delete(s.entries, name)
	s.removals.add(now, removal{subject: SubjectUpstream, name: name, revision: revision})
}

func (s *State) inHoldPeriod(now time.Duration) bool {
	return s.recoveredAt > 0 && now-s.recoveredAt < s.HoldPeriod
}

// renewHolds starts the holds anew when the store returns once more.
func (s *State) renewHolds(now time.Duration) {
	for _, e := range s.entries {
		if e.isHeld() {
			e.heldUntil = now + s.HoldPeriod
		}
	}
}

// expireHolds ends the holds of lapsed entries. Each VM that was told of a hold ends
// it by itself.
func (s *State) expireHolds(now time.Duration, events []Event) []Event {
	for name, e := range s.entries {
		if e.isHeld() && now >= e.heldUntil {
			s.drop(now, name, e.revision)
			events = append(events, Event{Subject: SubjectUpstream, Name: name, Kind: "removed"})
		}
	}
	return events
}

func (s *State) applyEvacuation(now time.Duration, c Change, events []Event) []Event {
	if c.Revision < s.zoneRev[c.Name] || c.Revision == s.zoneRev[c.Name] && !c.Deleted {
		return events
	}
	s.zoneRev[c.Name] = c.Revision
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

// removeMissing takes away what a full read no longer holds. An item that is
// newer than the read isn't missing.
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
			e.revision, e.contentRevision = b.Revision, b.Revision
		default:
			events = s.removeOrHold(now, name, e, b.Revision, events)
		}
	}
	for zone, rev := range s.evacuated {
		if !present[SubjectEvacuation.String()+"/"+zone] && rev <= b.Revision {
			events = s.endEvacuation(now, zone, b.Revision, events)
		}
	}
	return events
}

// View returns an immutable copy, or nil as long as no configuration is known.
func (s *State) View() *View {
	if s.config == nil {
		return nil
	}
	v := &View{
		Table: s.config, ConfigRevision: s.configRev,
		Upstreams: map[string][]routetable.Upstream{},
		Evacuated: map[string]bool{},
	}
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[name]; e.usable {
			v.Upstreams[e.upstream.Service] = append(v.Upstreams[e.upstream.Service], e.upstream)
		}
	}
	for zone := range s.evacuated {
		v.Evacuated[zone] = true
	}
	return v
}
