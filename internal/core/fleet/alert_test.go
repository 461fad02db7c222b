package fleet

import (
	"fmt"
	"slices"
	"testing"
)

// alerted returns the VMs that an alert of one reaches.
func (n *network) alerted(from string) map[string]bool {
	reached, senders := map[string]bool{from: true}, []string{from}
	for len(senders) > 0 {
		sender := senders[0]
		senders = senders[1:]
		for _, to := range n.tables[sender].AlertTargets(n.now) {
			n.calls++
			if reached[to] || n.down[to] {
				continue
			}
			reached[to] = true
			if n.tables[to].PassesAlertsOn(n.now) {
				senders = append(senders, to)
			}
		}
	}
	return reached
}

// TestAlertsReachAllVMsOrAllRelays guards against a crash that only some VMs learn of before
// their next exchange, and against alerts that cost a call to each VM of a large fleet.
func TestAlertsReachAllVMsOrAllRelays(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{3, 3}, {4, 20}, {4, 74}} {
		t.Run(fmt.Sprint(size.zones*size.perZone), func(t *testing.T) {
			n := newNetwork(t, size.zones, size.perZone)
			n.run(80)
			relays := 0
			var from string
			for _, addr := range n.order {
				if n.tables[addr].PassesAlertsOn(n.now) {
					relays++
				} else {
					from = addr
				}
			}
			n.calls = 0
			reached := n.alerted(from)
			if relays == 0 && len(reached) != len(n.order) {
				t.Errorf("%d of %d VMs are reached", len(reached), len(n.order))
			}
			for _, addr := range n.order {
				if n.tables[addr].PassesAlertsOn(n.now) && !reached[addr] {
					t.Errorf("the relay %s isn't reached", addr)
				}
			}
			// Each VM of a small fleet, or each pair of relays, one call.
			if most := max(relays*relays, 15); n.calls > most {
				t.Errorf("%d calls, at most %d", n.calls, most)
			}
		})
	}
}

func TestVMsThatLeaveOrFailAreNotAlerted(t *testing.T) {
	n := newNetwork(t, 1, 4)
	n.run(20)
	left, failed := address(0, 1), address(0, 2)
	n.tables[left].UpdateSelf(n.now, State{Leaving: true})
	self := n.tables[address(0, 0)]
	self.Merge(n.tables[left].ReportsFor(address(0, 0), RelayAll), left)
	self.MarkFailed(n.now, failed)
	if got := self.AlertTargets(n.now); !slices.Equal(got, []string{address(0, 3)}) {
		t.Errorf("alerts go to %v", got)
	}
}
