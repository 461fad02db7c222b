package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newExecutorTable returns the table of a small VM in zone-0 of a fleet with two large
// VMs and six small ones in each of three zones.
func newExecutorTable(now time.Duration) (*Table, func(addr string, change func(*Report))) {
	self := Report{Address: "10.0.0.9:1", Zone: "zone-0", CPUShare: 0.2}
	t := NewTable(DefaultPolicy(), self, nil)
	reports := map[string]Report{}
	for z := range 3 {
		for i := range 8 {
			r := Report{Address: fmt.Sprintf("10.%d.0.%d:1", z, i), Zone: fmt.Sprint("zone-", z), Incarnation: 1, Sequence: 1, At: now, CPUShare: 0.2}
			if i < 2 {
				r.CPUShare = 0.8
			}
			reports[r.Address] = r
			t.Merge([]Report{r}, r.Address)
		}
	}
	return t, func(addr string, change func(*Report)) {
		r := reports[addr]
		r.Sequence++
		change(&r)
		reports[addr] = r
		t.Merge([]Report{r}, addr)
	}
}

func TestExecutorsAreTheLargeVMs(t *testing.T) {
	now := 100 * time.Second
	table, update := newExecutorTable(now)
	expect := func(what string, zone string, want ...string) {
		t.Helper()
		if got := table.Executors(now)[zone]; !slices.Equal(got, want) {
			t.Errorf("%s: executors of %s are %v, want %v", what, zone, got, want)
		}
	}
	expect("at first", "zone-0", "10.0.0.0:1", "10.0.0.1:1")
	expect("at first", "zone-2", "10.2.0.0:1", "10.2.0.1:1")
	update("10.0.0.0:1", func(r *Report) { r.Draining = true })
	expect("while one drains", "zone-0", "10.0.0.1:1")
	update("10.2.0.1:1", func(r *Report) { r.Leaving = true })
	expect("after one has left", "zone-2", "10.2.0.0:1")
	update("10.1.0.0:1", func(r *Report) { r.At = now - maxExecutorSilence - time.Millisecond })
	expect("while one is silent", "zone-1", "10.1.0.1:1")
	table.MarkFailed(now, "10.1.0.1:1")
	expect("after an exchange has failed", "zone-1", "10.1.0.1:1")
}

func TestExecutorsOfASmallFleet(t *testing.T) {
	table := NewTable(DefaultPolicy(), Report{Address: "10.0.0.9:1", Zone: "z", CPUShare: 0.8}, nil)
	if got := table.Executors(0); got != nil {
		t.Errorf("executors are %v in a fleet of one", got)
	}
}

func TestEqualVMsShareTheQueries(t *testing.T) {
	table := NewTable(DefaultPolicy(), Report{Address: "10.0.0.99:1", Zone: "z", CPUShare: 0.4}, nil)
	for i := range 39 {
		table.Merge([]Report{{Address: fmt.Sprintf("10.0.0.%02d:1", i), Zone: "z", Incarnation: 1, CPUShare: 0.4}}, "")
	}
	if got := table.Executors(0)["z"]; len(got) != 3 {
		t.Errorf("%d of 40 VMs are executors, want 3: one for each %d", len(got), vmsPerExecutor)
	}
}

// TestIsolatedVMsRunNothingForOthers checks that a VM that reaches no upstream is neither an
// executor nor a helper, and that one without a recent report isn't either.
func TestIsolatedVMsRunNothingForOthers(t *testing.T) {
	now := 100 * time.Second
	table, update := newExecutorTable(now)
	helpers := func() int {
		n := 0
		for _, list := range table.Helpers(now) {
			n += len(list)
		}
		return n
	}
	if n := helpers(); n != 24 {
		t.Errorf("%d of 24 VMs help at first", n)
	}
	update("10.0.0.0:1", func(r *Report) { r.Isolated = true })
	if got := table.Executors(now)["zone-0"]; !slices.Equal(got, []string{"10.0.0.1:1"}) {
		t.Errorf("executors are %v while one is isolated", got)
	}
	update("10.1.0.5:1", func(r *Report) { r.At = now - maxExecutorSilence - time.Millisecond })
	update("10.2.0.5:1", func(r *Report) { r.Draining = true })
	if n := helpers(); n != 21 {
		t.Errorf("%d VMs help while three of 24 can't", n)
	}
	table.UpdateSelf(now, State{Isolated: true})
	if got := table.ReportsFor("x", RelayNone)[0]; !got.Isolated {
		t.Error("a VM that is isolated doesn't report it")
	}
	update("10.0.0.0:1", func(r *Report) { r.Isolated = false })
	if got := table.Executors(now)["zone-0"]; !slices.Equal(got, []string{"10.0.0.0:1", "10.0.0.1:1"}) {
		t.Errorf("executors are %v after the isolation", got)
	}
}
