package fleet

import "testing"

// TestFleetsOfEachSizeAreFoundInTime checks the bound of 6 s around the size from which
// relays pass reports on, where VMs may differ in what they take the size for.
func TestFleetsOfEachSizeAreFoundInTime(t *testing.T) {
	for zones := 2; zones <= 6; zones++ {
		for perZone := 1; perZone*zones <= 3*MeshSize; perZone++ {
			n := newNetwork(t, zones, perZone)
			n.run(24)
			for _, addr := range n.order {
				if known := len(n.tables[addr].members); known != len(n.order)-1 {
					t.Errorf("%d zones of %d: %s knows %d of %d other VMs", zones, perZone, addr, known, len(n.order)-1)
				}
			}
		}
	}
}
