package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/membership"
)

func vms(n int) []membership.VM {
	out := make([]membership.VM, n)
	for i := range out {
		out[i] = membership.VM{ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
	}
	return out
}

func ids(list []membership.VM) []string {
	var out []string
	for _, vm := range list {
		out = append(out, vm.ID)
	}
	return out
}

func TestRendezvousRemovalKeepsTheOthersInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := vms(rapid.IntRange(2, 30).Draw(t, "n"))
		key := rapid.String().Draw(t, "key")
		gone := rapid.SampledFrom(all).Draw(t, "gone")
		before := ids(membership.RendezvousN(key, all, len(all)))
		after := ids(membership.RendezvousN(key, membership.Without(all, gone.ID), len(all)))
		before = slices.DeleteFunc(before, func(id string) bool { return id == gone.ID })
		if !slices.Equal(before, after) {
			t.Fatalf("order changed from %v to %v", before, after)
		}
	})
}

func TestRendezvousDoesNotDependOnTheListOrder(t *testing.T) {
	all := vms(12)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	for i := range 100 {
		key := fmt.Sprint(i)
		a, _ := membership.Rendezvous(key, all)
		b, _ := membership.Rendezvous(key, reversed)
		first := membership.RendezvousN(key, all, 1)[0]
		if a != b || a != first {
			t.Fatalf("key %s: %v, %v and %v", key, a, b, first)
		}
	}
}

func TestRendezvousWithoutVMs(t *testing.T) {
	if _, ok := membership.Rendezvous("x", nil); ok {
		t.Fatal("an empty list of VMs has an owner")
	}
}

func TestInZone(t *testing.T) {
	got := ids(membership.InZone(vms(7), "zone-1"))
	if !slices.Equal(got, []string{"vm-1", "vm-4"}) {
		t.Fatalf("got %v", got)
	}
}

func TestElapsedTakesTheLargerClock(t *testing.T) {
	start := time.Now()
	wallOnly := start.Round(0)
	for _, c := range []struct {
		name     string
		from, to time.Time
		want     time.Duration
	}{
		{"both", start, start.Add(time.Second), time.Second},
		{"wall clock advanced", wallOnly, wallOnly.Add(time.Hour), time.Hour},
		{"wall clock set back", wallOnly, wallOnly.Add(-time.Hour), 0},
	} {
		if got := membership.Elapsed(c.from, c.to); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestReadingEndsByEitherClock(t *testing.T) {
	deadline := membership.ClockReading{}.Add(2 * time.Second)
	for _, c := range []struct {
		now  membership.ClockReading
		want bool
	}{
		{membership.ClockReading{Mono: time.Second, Wall: time.Second}, false},
		{membership.ClockReading{Mono: 0, Wall: 2 * time.Second}, true},
		{membership.ClockReading{Mono: 2 * time.Second, Wall: -time.Hour}, true},
	} {
		if got := c.now.Reached(deadline); got != c.want {
			t.Errorf("%+v: got %v", c.now, got)
		}
	}
}

func TestTrackerIgnoresOlderLists(t *testing.T) {
	var tracker membership.Tracker
	start := time.Unix(1000, 0)
	newer := &membership.List{Revision: 2}
	tracker.OnList(newer, start)
	if tracker.OnList(&membership.List{Revision: 1}, start.Add(time.Minute)) {
		t.Error("an older list was applied")
	}
	if tracker.List() != newer || tracker.Fresh(start.Add(10*time.Second), 9*time.Second) {
		t.Error("an older list counted as a confirmation")
	}
	tracker.OnList(&membership.List{Revision: 2}, start.Add(5*time.Second))
	if !tracker.Fresh(start.Add(10*time.Second), 9*time.Second) {
		t.Error("the same revision did not confirm the list")
	}
}
