package metadata

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

const (
	outageThreshold = 2500 * time.Millisecond
	holdPeriod      = 2200 * time.Millisecond
)

func config(version, revision int64) Change {
	return Change{Subject: SubjectConfig, Revision: revision, Config: &routetable.Config{Version: version}}
}

func upstream(id string, revision int64, change ...func(*routetable.Upstream)) Change {
	u := routetable.Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 2, Born: 1}
	for _, f := range change {
		f(&u)
	}
	return Change{Subject: SubjectUpstream, Name: id, Revision: revision, Upstream: u}
}

func removed(id string, revision int64) Change {
	return Change{Subject: SubjectUpstream, Name: id, Revision: revision, Deleted: true}
}

func ids(v *View) []string {
	var out []string
	for _, u := range v.Upstreams["s"] {
		out = append(out, u.ID)
	}
	return out
}

func expectIDs(t *testing.T, s *State, want ...string) {
	t.Helper()
	if got := ids(s.View()); !reflect.DeepEqual(got, want) {
		t.Errorf("upstreams are %v, want %v", got, want)
	}
}

func newSyncedState(t *testing.T, changes ...Change) *State {
	t.Helper()
	s := NewState(outageThreshold, holdPeriod)
	s.Apply(time.Second, Batch{Changes: append([]Change{config(5, 10)}, changes...), Revision: 20, Full: true})
	return s
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	s := newSyncedState(t)
	s.Apply(2*time.Second, Batch{Changes: []Change{config(4, 9)}, Revision: 21})
	s.Apply(2*time.Second, Batch{Changes: []Change{config(3, 22)}, Revision: 22})
	s.Apply(2*time.Second, Batch{Changes: []Change{{Subject: SubjectConfig, Revision: 23, Deleted: true}}, Revision: 23})
	s.Apply(2*time.Second, Batch{Changes: []Change{{Subject: SubjectConfig, Revision: 24, Err: errors.New("broken")}}, Revision: 24})
	if v := s.View().Table.Config.Version; v != 5 {
		t.Errorf("version %d is active, want 5", v)
	}
	s.Apply(2*time.Second, Batch{Changes: []Change{config(6, 25)}, Revision: 25})
	if v := s.View().Table.Config.Version; v != 6 {
		t.Errorf("version %d is active, want 6", v)
	}
}

func TestInvalidAnnouncementDoesNotAffectOthers(t *testing.T) {
	broken := Change{Subject: SubjectUpstream, Name: "b", Revision: 11, Err: errors.New("a field is missing")}
	s := newSyncedState(t, upstream("a", 11), broken, upstream("c", 12))
	expectIDs(t, s, "a", "c")
	s.Apply(2*time.Second, Batch{Changes: []Change{{Subject: SubjectUpstream, Name: "a", Revision: 30, Err: errors.New("bad")}}, Revision: 30})
	expectIDs(t, s, "c")
	s.Apply(3*time.Second, Batch{Changes: []Change{upstream("a", 31)}, Revision: 31})
	expectIDs(t, s, "a", "c")
}

func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	s := newSyncedState(t, upstream("a", 11), upstream("b", 12))
	s.Apply(2*time.Second, Batch{Changes: []Change{removed("a", 21)}, Revision: 21})
	expectIDs(t, s, "b")
}

func TestRemovedEntriesAreHeldAfterAnOutage(t *testing.T) {
	s := newSyncedState(t, upstream("a", 11), upstream("b", 12), upstream("c", 13, func(u *routetable.Upstream) { u.Draining = true }))
	recoveredAt := time.Second + 4*time.Second
	s.Apply(recoveredAt, Batch{Changes: []Change{removed("a", 21), removed("b", 22), removed("c", 23)}, Revision: 23})
	expectIDs(t, s, "a", "b")
	s.Apply(recoveredAt+time.Second, Batch{Changes: []Change{upstream("a", 24)}, Revision: 24})
	expectIDs(t, s, "a", "b")
	s.Apply(recoveredAt+holdPeriod, Batch{Revision: 25})
	expectIDs(t, s, "a")
}

func TestFullReadRemovesMissingItems(t *testing.T) {
	s := newSyncedState(t, upstream("a", 11), upstream("b", 12), Change{Subject: SubjectEvacuation, Name: "z", Revision: 13})
	if !s.View().Evacuated["z"] {
		t.Fatal("the zone isn't evacuated")
	}
	s.Apply(2*time.Second, Batch{Changes: []Change{config(5, 10), upstream("b", 12)}, Revision: 40, Full: true})
	expectIDs(t, s, "b")
	if s.View().Evacuated["z"] {
		t.Error("the zone is still evacuated")
	}
}

func TestRestartUnderTheSameID(t *testing.T) {
	s := newSyncedState(t, upstream("a", 11))
	events := s.Apply(2*time.Second, Batch{Changes: []Change{upstream("a", 21, func(u *routetable.Upstream) { u.Born = 2 })}, Revision: 21})
	if len(events) != 1 || events[0].Kind != "restarted" {
		t.Errorf("events are %+v, want a restart", events)
	}
}

func TestUpstreamTurningColdEmitsEvent(t *testing.T) {
	s := newSyncedState(t, upstream("a", 11))
	for i, c := range []struct {
		cold time.Duration
		want int
	}{{0, 0}, {3 * time.Second, 1}, {2 * time.Second, 0}, {0, 1}, {time.Second, 1}} {
		rev := int64(30 + i)
		events := s.Apply(2*time.Second, Batch{Changes: []Change{upstream("a", rev, func(u *routetable.Upstream) { u.Cold = c.cold })}, Revision: rev})
		if len(events) != c.want {
			t.Errorf("announcement %d with %v gives events %+v, want %d", i, c.cold, events, c.want)
		}
	}
}

func TestStaleFallbackBatchesDoNotHideAnOutage(t *testing.T) {
	s := newSyncedState(t, upstream("a", 11))
	for at := 2 * time.Second; at <= 6*time.Second; at += time.Second {
		s.Apply(at, Batch{Revision: 20, Age: at - 1500*time.Millisecond, FromFallbackPeer: true})
	}
	s.Apply(6500*time.Millisecond, Batch{Changes: []Change{removed("a", 21)}, Revision: 21})
	expectIDs(t, s, "a")
	s.Apply(6500*time.Millisecond+holdPeriod, Batch{Revision: 22})
	expectIDs(t, s)
}

// TestBatchesOfALaggingReaderAreNoOutage checks that responses of a reader that
// are two seconds old don't count as an outage when the VM then reads the store
// directly.
func TestBatchesOfALaggingReaderAreNoOutage(t *testing.T) {
	s := newSyncedState(t, upstream("a", 11), upstream("b", 12))
	for at := 2 * time.Second; at <= 4*time.Second; at += time.Second {
		s.Apply(at, Batch{Revision: 20, Age: 1990 * time.Millisecond})
	}
	s.Apply(5*time.Second, Batch{Changes: []Change{removed("a", 21)}, Revision: 21})
	expectIDs(t, s, "b")
}

// follow makes a follower read once from its reader.
func follow(now time.Duration, follower, reader *State) {
	follower.Apply(now, reader.ChangesSince(now, follower.Position()))
}

func TestFollowerEndsTheHoldOfARemovedEntry(t *testing.T) {
	reader, follower := newSyncedState(t, upstream("a", 11)), newSyncedState(t, upstream("a", 11))
	recoveredAt := 5 * time.Second
	reader.Apply(recoveredAt, Batch{Changes: []Change{removed("a", 25)}, Revision: 25})
	follower.Apply(recoveredAt, Batch{Revision: 24, Age: 0})
	follow(recoveredAt+time.Second, follower, reader)
	expectIDs(t, follower, "a")
	// The follower reads the store directly, which doesn't repeat the removal,
	// and so has a newer revision than its reader when the reader drops the
	// entry.
	follower.Apply(recoveredAt+1500*time.Millisecond, Batch{Revision: 40})
	reader.Apply(recoveredAt+holdPeriod, Batch{Revision: 30})
	expectIDs(t, reader)
	follow(recoveredAt+holdPeriod+time.Second, follower, reader)
	expectIDs(t, follower)
}

func TestRemovalDuringAFullReadReachesFollowers(t *testing.T) {
	reader, follower := newSyncedState(t, upstream("a", 11)), newSyncedState(t, upstream("a", 11))
	// The later pages of a full read at revision 30 lack what was removed at 31.
	reader.Apply(2*time.Second, Batch{Changes: []Change{config(5, 10)}, Revision: 30, Full: true})
	reader.Apply(3*time.Second, Batch{Changes: []Change{removed("a", 31)}, Revision: 32})
	follower.Apply(3*time.Second, Batch{Revision: 30})
	follow(4*time.Second, follower, reader)
	expectIDs(t, follower)
}

func TestFollowerOlderThanFullReadGetsFullState(t *testing.T) {
	reader, follower := newSyncedState(t, upstream("a", 11)), newSyncedState(t, upstream("a", 11))
	reader.Apply(2*time.Second, Batch{Changes: []Change{removed("a", 21)}, Revision: 22})
	follower.Apply(3*time.Second, Batch{Changes: []Change{removed("a", 21), upstream("b", 23)}, Revision: 24})
	reader.Apply(3*time.Second, Batch{Changes: []Change{config(5, 10), upstream("c", 28)}, Revision: 30, Full: true})
	for at := 4 * time.Second; at <= 40*time.Second; at += 2 * time.Second {
		reader.Apply(at, Batch{Revision: 30})
		follower.Apply(at, Batch{Revision: 24})
	}
	// The removal of a is older than the full read, and no longer retained.
	reader.Apply(40*time.Second, Batch{Changes: []Change{removed("c", 31)}, Revision: 31})
	follow(41*time.Second, follower, reader)
	expectIDs(t, follower)
}

func TestReaddedEntryReachesFollowersOfAVMThatMissedItsRemoval(t *testing.T) {
	first, second, third := newSyncedState(t, upstream("a", 11)), newSyncedState(t, upstream("a", 11)), newSyncedState(t, upstream("a", 11))
	third.Apply(2*time.Second, Batch{Changes: []Change{removed("a", 21)}, Revision: 21})
	expectIDs(t, third)
	first.Apply(2*time.Second, Batch{Changes: []Change{removed("a", 21), upstream("a", 22)}, Revision: 23})
	follow(2*time.Second, second, first)
	follow(3*time.Second, third, second)
	expectIDs(t, third, "a")
}

// TestFollowerEndsWithTheSameView lets VMs read a random history from the store
// or from each other. Once each follows the VM before it in a chain, all must
// have the same view.
func TestFollowerEndsWithTheSameView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{items: map[string]Change{}}
		vms := []*State{NewState(outageThreshold, holdPeriod), NewState(outageThreshold, holdPeriod), NewState(outageThreshold, holdPeriod)}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				store.write(t)
				continue
			}
			vm := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			if reader := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "leader")]; reader != vm {
				follow(now, vm, reader)
			} else {
				vm.Apply(now, store.read(t, vm.Position().Revision))
			}
		}
		// Without further writes: the first VM reads the store, and holds end.
		for range 8 {
			now += time.Second
			store.rev++ // heartbeats
			vms[0].Apply(now, store.since(vms[0].Position().Revision, false))
			follow(now, vms[1], vms[0])
			follow(now, vms[2], vms[1])
		}
		for _, vm := range vms[1:] {
			expectSameView(t, vms[0].View(), vm.View())
		}
	})
}

func expectSameView(t *rapid.T, a, b *View) {
	if (a == nil) != (b == nil) {
		t.Fatalf("views are %v and %v", a, b)
	}
	if a == nil {
		return
	}
	if a.Table.Config.Version != b.Table.Config.Version || !reflect.DeepEqual(a.Upstreams, b.Upstreams) || !maps.Equal(a.Evacuated, b.Evacuated) {
		t.Fatalf("reader has %v %v, follower %v %v", a.Upstreams, a.Evacuated, b.Upstreams, b.Evacuated)
	}
}

// fakeStore is an in-memory store of a few items.
type fakeStore struct {
	rev    int64
	items  map[string]Change
	events []Change
}

func (h *fakeStore) write(t *rapid.T) {
	h.rev += int64(rapid.IntRange(1, 3).Draw(t, "gap"))
	var c Change
	key := ""
	switch rapid.IntRange(0, 4).Draw(t, "item") {
	case 0:
		c, key = config(h.rev, h.rev), "config"
	case 1:
		zone := fmt.Sprintf("z%d", rapid.IntRange(0, 1).Draw(t, "zone"))
		c, key = Change{Subject: SubjectEvacuation, Name: zone, Revision: h.rev}, "zone/"+zone
	default:
		id := fmt.Sprintf("u%d", rapid.IntRange(0, 3).Draw(t, "id"))
		c, key = upstream(id, h.rev, func(u *routetable.Upstream) {
			u.Draining = rapid.Bool().Draw(t, "draining")
			u.Born = int64(rapid.IntRange(1, 2).Draw(t, "born"))
		}), "upstream/"+id
	}
	if key != "config" && rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
		if _, ok := h.items[key]; !ok {
			return
		}
		delete(h.items, key)
		h.events = append(h.events, Change{Subject: c.Subject, Name: c.Name, Revision: h.rev, Deleted: true})
		return
	}
	h.items[key] = c
	h.events = append(h.events, c)
}

// read returns changes or a full batch. The pages of a full read aren't a
// consistent snapshot: something may be written between two of them.
func (h *fakeStore) read(t *rapid.T, after int64) Batch {
	full := rapid.Bool().Draw(t, "full") || after == 0
	if !full || !rapid.Bool().Draw(t, "torn") {
		return h.since(after, full)
	}
	first := h.since(0, true)
	h.write(t)
	second := h.since(0, true)
	b := Batch{Revision: first.Revision, Full: true}
	boundary := fmt.Sprintf("u%d", rapid.IntRange(0, 4).Draw(t, "boundary"))
	for _, c := range first.Changes {
		if c.Name < boundary {
			b.Changes = append(b.Changes, c)
		}
	}
	for _, c := range second.Changes {
		if c.Name >= boundary {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

func (h *fakeStore) since(after int64, full bool) Batch {
	b := Batch{Revision: h.rev, Full: full || after == 0}
	if b.Full {
		for _, c := range h.items {
			b.Changes = append(b.Changes, c)
		}
		return b
	}
	for _, c := range h.events {
		if c.Revision > after {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

// TestOlderAnnouncementDoesNotBringBackARemovedUpstream applies batches of VMs that
// haven't seen a removal yet.
func TestOlderAnnouncementDoesNotBringBackARemovedUpstream(t *testing.T) {
	for name, older := range map[string]Batch{
		"changes":   {Revision: 4, Changes: []Change{upstream("a", 4)}},
		"full read": {Revision: 4, Full: true, Changes: []Change{config(1, 1), upstream("a", 4)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState(time.Second, time.Second)
			s.Apply(0, Batch{Revision: 2, Full: true, Changes: []Change{config(1, 1), upstream("a", 2)}})
			s.Apply(0, Batch{Revision: 5, Changes: []Change{removed("a", 5)}})
			if events := s.Apply(0, older); len(events) > 0 || len(ids(s.View())) > 0 {
				t.Errorf("after the older batch: events %v, upstreams %v", events, ids(s.View()))
			}
			s.Apply(0, Batch{Revision: 6, Changes: []Change{upstream("a", 6)}})
			if got := ids(s.View()); len(got) != 1 {
				t.Errorf("after a newer announcement the upstreams are %v", got)
			}
		})
	}
}
