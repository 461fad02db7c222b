package quota_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// TestBeyondTheAssumption violates what the scheme assumes of the platform: it
// replaces all VMs of a zone at once, while the old ones continue to run
// without a connection to any other VM. docs/design/quota.md bounds the excess
// by the zone's share until the old VMs end. The test checks the bound.
func TestBeyondTheAssumption(t *testing.T) {
	w := newWorld(1, nil)
	w.run(warmUp)
	for i, vm := range w.vms {
		if vm.Zone != "d" {
			continue
		}
		old := w.fleet.Node(vm.ID)
		old.Partition, old.PlatformDown = 1, true
		w.vms[i] = membership.VM{ID: fmt.Sprintf("new-%d", i), Zone: "d"}
		w.start(w.vms[i])
	}
	w.publish()
	w.run(20 * time.Second)
	if !strings.Contains(w.failure, "together") {
		t.Fatalf("the sum of the VMs' curves stayed within the limits: %q", w.failure)
	}
	for _, c := range w.limits {
		held := w.held()[c.Name]
		const micro = 1_000_000
		const mostTimes = 1.25
		if float64(held.Rate) > c.Rate*mostTimes*micro || float64(held.Capacity) > c.Burst*mostTimes*micro {
			t.Errorf("%s: %+v held", c.Name, held)
		}
	}
}
