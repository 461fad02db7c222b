package executor

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

func zonesOf(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}

func TestCandidates(t *testing.T) {
	byZone := map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}, "d": {"d1"}}
	for name, test := range map[string]struct {
		self, zone string
		zones      map[string]bool
		avoid      []string
		want       []string // in any order
	}{
		"executor in a zone of the upstreams":    {"a1", "a", zonesOf("a", "b"), nil, nil},
		"own zone first":                         {"x", "a", zonesOf("a", "b"), nil, []string{"a1", "a2"}},
		"executor without upstreams in its zone": {"d1", "d", zonesOf("a"), nil, []string{"a1", "a2"}},
		"other zone if the own one fails":        {"x", "a", zonesOf("a", "b"), []string{"a1", "a2"}, []string{"b1", "b2"}},
		"one of each":                            {"x", "a", zonesOf("a", "d"), []string{"a1"}, []string{"a2", "d1"}},
		"none where the upstreams are":           {"x", "a", zonesOf("c"), nil, nil},
		"all avoided":                            {"x", "a", zonesOf("d"), []string{"d1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory(test.self, test.zone, 0)
			d.Update(epoch, VMs{Executors: byZone})
			for _, addr := range test.avoid {
				d.Avoid(epoch, addr)
			}
			got := d.Candidates(epoch, test.zones)
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("candidates are %v, want %v", got, test.want)
			}
		})
	}
}

func TestAvoidedExecutorIsTriedAgain(t *testing.T) {
	d := NewDirectory("x", "a", 0)
	byZone := map[string][]string{"a": {"a1"}}
	d.Update(epoch, VMs{Executors: byZone})
	d.Avoid(epoch, "a1")
	later := epoch.Add(avoidPeriod + time.Millisecond)
	if got := d.Candidates(later.Add(-2*time.Millisecond), zonesOf("a")); len(got) != 0 {
		t.Errorf("candidates are %v while avoided", got)
	}
	d.Update(later, VMs{Executors: byZone})
	if got := d.Candidates(later, zonesOf("a")); !slices.Equal(got, []string{"a1"}) {
		t.Errorf("candidates are %v after the period", got)
	}
}

func TestQueriesRotateThroughExecutors(t *testing.T) {
	d := NewDirectory("x", "a", 0)
	d.Update(epoch, VMs{Executors: map[string][]string{"a": {"a1", "a2", "a3"}}})
	first := map[string]int{}
	for range 30 {
		first[d.Candidates(epoch, zonesOf("a"))[0]]++
	}
	for _, addr := range []string{"a1", "a2", "a3"} {
		if first[addr] != 10 {
			t.Errorf("%s was first %d times of 30", addr, first[addr])
		}
	}
}

// TestHelpers checks whom a VM asks that reaches no upstream.
func TestHelpers(t *testing.T) {
	all := map[string][]string{"a": {"a1", "a2"}, "b": {"b1", "b2"}, "c": {"c1"}}
	for name, test := range map[string]struct {
		vms   VMs
		avoid []string
		first []string // one of these comes first
		n     int
	}{
		"own zone first":                       {VMs{Helpers: all, OwnZone: 3}, nil, []string{"a1", "a2"}, 5},
		"all zones if few are left in its own": {VMs{Helpers: all, OwnZone: 5}, nil, []string{"a1", "a2", "b1", "b2", "c1"}, 5},
		"executors first":                      {VMs{Executors: map[string][]string{"b": {"b1"}}, Helpers: all, OwnZone: 3}, nil, []string{"b1"}, 5},
		"those that didn't accept come last":   {VMs{Helpers: all, OwnZone: 3}, []string{"a1", "b1", "b2"}, []string{"a2"}, 5},
		"nobody":                               {VMs{Helpers: map[string][]string{}, OwnZone: 3}, nil, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory("x", "a", 0)
			d.Update(epoch, test.vms)
			for _, addr := range test.avoid {
				d.Avoid(epoch, addr)
			}
			for range 10 {
				got := d.Helpers(epoch)
				if len(got) != test.n || test.n > 0 && !slices.Contains(test.first, got[0]) {
					t.Errorf("helpers are %v, want %d of them, one of %v first", got, test.n, test.first)
				}
			}
		})
	}
}

// TestHelpersCarryEqualParts guards against one VM that gets the requests of all that
// reach no upstream, in fleets of 8, 80 and 295 VMs of which six in ten do not.
func TestHelpersCarryEqualParts(t *testing.T) {
	for _, vms := range []int{8, 80, 295} {
		helpers := map[string][]string{}
		zoneSize := map[string]int{}
		name := func(i int) (vm, zone string) { return fmt.Sprintf("vm-%03d", i), fmt.Sprint("z", i%4) }
		isIsolated := func(i int) bool { return i%10 < 6 }
		n := 0
		for i := range vms {
			vm, zone := name(i)
			zoneSize[zone]++
			if !isIsolated(i) {
				helpers[zone] = append(helpers[zone], vm)
				n++
			}
		}
		got := map[string]int{}
		const perVM = 60
		total := 0
		for i := range vms {
			vm, zone := name(i)
			if !isIsolated(i) {
				continue
			}
			d := NewDirectory(vm, zone, i*7919)
			d.Update(epoch, VMs{Helpers: helpers, OwnZone: zoneSize[zone] - 1})
			for range perVM {
				got[d.Helpers(epoch)[0]]++
				total++
			}
		}
		mean := float64(total) / float64(n)
		for vm, requests := range got {
			if float64(requests) > 2*mean {
				t.Errorf("%d VMs: %s gets %d requests, the mean is %.0f", vms, vm, requests, mean)
			}
		}
	}
}
