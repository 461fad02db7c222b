package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// network is a set of tables that exchange reports without delay.
type network struct {
	t           *testing.T
	now         time.Duration
	tables      map[string]*Table
	order       []string
	calls       int
	down        map[string]bool
	partitioned func(a, b string) bool
}

func newNetwork(t *testing.T, zones, perZone int) *network {
	n := &network{t: t, tables: map[string]*Table{}, down: map[string]bool{}, partitioned: func(string, string) bool { return false }}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, address(i%zones, 0))
	}
	for z := range zones {
		for i := range perZone {
			n.start(address(z, i), fmt.Sprint("zone-", z), seeds, uint64(z*100+i+1))
		}
	}
	return n
}

func address(zone, i int) string { return fmt.Sprintf("10.%d.0.%02d:80", zone, i) }

func (n *network) start(addr, zone string, seeds []string, boot uint64) {
	if n.tables[addr] == nil {
		n.order = append(n.order, addr)
	}
	n.tables[addr] = NewTable(DefaultPolicy(), Report{Address: addr, Zone: zone, Incarnation: boot}, seeds)
	delete(n.down, addr)
}

func (n *network) run(ticks int) {
	for range ticks {
		n.now += 250 * time.Millisecond
		for _, addr := range n.order {
			if !n.down[addr] {
				n.tick(addr, n.tables[addr])
			}
		}
	}
}

func (n *network) tick(addr string, t *Table) {
	t.UpdateSelf(n.now, State{})
	t.Expire(n.now)
	for _, target := range t.Targets(n.now) {
		n.calls++
		other := n.tables[target.Address]
		reports := t.ReportsFor(target.Address, target.RelayScope)
		if other == nil || n.down[target.Address] || n.partitioned(addr, target.Address) {
			t.MarkFailed(n.now, target.Address)
			continue
		}
		known := other.Contains(reports[0])
		other.Merge(reports, addr)
		t.Merge(other.ReplyTo(reports[0], known), target.Address)
	}
}

func (n *network) expectAllKnown(limit time.Duration) {
	n.t.Helper()
	for _, addr := range n.order {
		if n.down[addr] {
			continue
		}
		fresh := 0
		for _, r := range n.tables[addr].Members() {
			if n.now-r.At <= limit {
				fresh++
			}
		}
		if want := len(n.order) - len(n.down) - 1; fresh != want {
			n.t.Errorf("%s has fresh reports of %d VMs, want %d", addr, fresh, want)
		}
	}
}

func TestVMsDiscoverEachOther(t *testing.T) {
	for _, perZone := range []int{2, 16} {
		n := newNetwork(t, 5, perZone)
		n.run(12)
		n.expectAllKnown(3 * time.Second)
	}
}

func TestOneReportATickReachesAllOfASmallFleet(t *testing.T) {
	n := newNetwork(t, 4, 2)
	n.run(20)
	n.expectAllKnown(500 * time.Millisecond)
}

func TestCallRatePerVMIsBoundedInALargeFleet(t *testing.T) {
	n := newNetwork(t, 5, 16)
	n.run(40)
	n.calls = 0
	n.run(40)
	if perVM := float64(n.calls) / 80 / 10; perVM > 3 {
		t.Errorf("%.1f calls per second and VM, want 3 at most", perVM)
	}
	n.expectAllKnown(3 * time.Second)
}

func TestFailedRelaysAreReplaced(t *testing.T) {
	n := newNetwork(t, 5, 16)
	n.run(20)
	for z := range 5 {
		n.down[address(z, 0)], n.down[address(z, 1)] = true, true
	}
	n.run(40)
	n.expectAllKnown(3 * time.Second)
	readers, relay := n.tables[address(1, 5)].Readers(n.now)
	slices.Sort(readers)
	if len(readers) != 2 || readers[0] != address(1, 2) || relay {
		t.Errorf("readers are %v, relay %v", readers, relay)
	}
}

// TestSeedsOfALargeFleetAreCalledByFew checks the load of a seed that isn't a relay.
func TestSeedsOfALargeFleetAreCalledByFew(t *testing.T) {
	n := newNetwork(t, 5, 16)
	seed := address(4, 15)
	for _, table := range n.tables {
		table.seeds = []string{seed}
	}
	n.run(40)
	calls, reports := 0, 0
	for range 40 {
		n.now += 250 * time.Millisecond
		for _, addr := range n.order {
			table := n.tables[addr]
			table.UpdateSelf(n.now, State{})
			for _, target := range table.Targets(n.now) {
				if target.Address == seed {
					calls++
					reports += len(table.ReportsFor(seed, target.RelayScope))
				}
			}
		}
	}
	if perSecond := float64(calls) / 10; perSecond > 5 {
		t.Errorf("a seed of 80 VMs is called %.1f times a second with %d reports, want 5 at most", perSecond, reports)
	}
}

// TestFleetJustAboveTheMeshIsFoundInTime checks that within 6 s, the users' bound on
// synchronization, all VMs of a fleet that starts know each other. A VM that knows
// MeshSize VMs or fewer takes the fleet for a small one and doesn't call a relay.
func TestFleetJustAboveTheMeshIsFoundInTime(t *testing.T) {
	n := newNetwork(t, 5, 4)
	n.run(24)
	for _, addr := range n.order {
		if known := len(n.tables[addr].members); known != len(n.order)-1 {
			t.Errorf("%s knows %d of %d other VMs", addr, known, len(n.order)-1)
		}
	}
}

// TestFewVMsReadTheStore checks that the number of the store's readers doesn't depend on
// the size of the fleet, and that a VM reads from the store over two others at most.
func TestFewVMsReadTheStore(t *testing.T) {
	for _, perZone := range []int{4, 16, 40} {
		n := newNetwork(t, 5, perZone)
		n.run(48)
		steps := map[string]int{} // reads between a VM and the store
		for range 3 {
			for _, addr := range n.order {
				readers, _ := n.tables[addr].Readers(n.now)
				if len(readers) == 0 {
					steps[addr] = 1
				}
				for _, r := range readers {
					if s := steps[r]; s > 0 && (steps[addr] == 0 || s+1 > steps[addr]) {
						steps[addr] = s + 1
					}
				}
			}
		}
		storeReaders := 0
		for _, addr := range n.order {
			switch {
			case steps[addr] == 1:
				storeReaders++
			case steps[addr] == 0 || steps[addr] > 3:
				t.Errorf("%d VMs a zone: %s is %d reads away from the store", perZone, addr, steps[addr])
			}
		}
		if storeReaders != storeReaderZones {
			t.Errorf("%d VMs a zone: %d of them read the store, want %d", perZone, storeReaders, storeReaderZones)
		}
	}
}

func TestFallbackPeersRotateOverResponsiveVMs(t *testing.T) {
	table := NewTable(DefaultPolicy(), Report{Address: "a", Zone: "z", Incarnation: 1}, nil)
	if got := table.FallbackPeer(0); got != "" {
		t.Errorf("fallback peer of a fleet of one VM is %q", got)
	}
	for _, addr := range []string{"b", "c", "d", "e"} {
		table.Merge([]Report{{Address: addr, Zone: "z", Incarnation: 1, Sequence: 1, Leaving: addr == "e"}}, addr)
	}
	table.MarkFailed(time.Second, "c")
	seen := map[string]int{}
	for range 6 {
		seen[table.FallbackPeer(time.Second)]++
	}
	if len(seen) != 2 || seen["b"] != 3 || seen["d"] != 3 {
		t.Errorf("fallback peers are %v, want b and d in turn", seen)
	}
}

func TestRestartedVMIsKnownAgain(t *testing.T) {
	n := newNetwork(t, 4, 2)
	n.run(12)
	n.start(address(2, 1), "zone-2", []string{address(0, 0)}, 999)
	n.run(4)
	n.expectAllKnown(time.Second)
	for _, r := range n.tables[address(3, 0)].Members() {
		if r.Address == address(2, 1) && r.Incarnation != 999 {
			t.Errorf("boot is %d, want that of the restart", r.Incarnation)
		}
	}
}

func TestSilentVMsAreRemovedAfterTheTimeout(t *testing.T) {
	n := newNetwork(t, 4, 2)
	n.run(12)
	n.partitioned = func(a, b string) bool { return (a == address(0, 0)) != (b == address(0, 0)) }
	n.run(40)
	if got := len(n.tables[address(1, 0)].Members()); got != 7 {
		t.Errorf("%d VMs are members 10 s after the partition, want 7", got)
	}
	n.run(60)
	if got := len(n.tables[address(1, 0)].Members()); got != 6 {
		t.Errorf("%d VMs are members 25 s after the partition, want 6", got)
	}
	n.partitioned = func(string, string) bool { return false }
	n.run(24)
	n.expectAllKnown(time.Second)
}

func TestOlderReportsDontReplaceNewerOnes(t *testing.T) {
	table := NewTable(DefaultPolicy(), Report{Address: "self"}, nil)
	table.Merge([]Report{{Address: "a", Incarnation: 1, Sequence: 5, At: 100}}, "a")
	for _, r := range []Report{
		{Address: "a", Incarnation: 1, Sequence: 4, At: 200},
		{Address: "a", Incarnation: 9, Sequence: 1, At: 50},
		{Address: "self", Incarnation: 3, Sequence: 1, At: 300},
		{},
	} {
		if updated := table.Merge([]Report{r}, "b"); len(updated) != 0 {
			t.Errorf("%+v was applied", r)
		}
	}
	if updated := table.Merge([]Report{{Address: "a", Incarnation: 2, Sequence: 1, At: 150}}, "b"); len(updated) != 1 {
		t.Error("the report of a later run was not applied")
	}
}

func TestRanksAreAPermutation(t *testing.T) {
	n := newNetwork(t, 4, 2)
	n.run(12)
	seen := map[int]bool{}
	for _, addr := range n.order {
		seen[n.tables[addr].Rank("upstream")] = true
	}
	if len(seen) != len(n.order) {
		t.Errorf("%d VMs have %d ranks", len(n.order), len(seen))
	}
}
