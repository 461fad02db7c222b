package gatewaydaemon

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/fleetrpc"
	"ryecourse.example/ryecourse/platform"
)

// TestServicesThatVMsCallThemselves guards against the executors' larger part of the
// limits at services that they don't call for others.
func TestServicesThatVMsCallThemselves(t *testing.T) {
	table := routetable.NewTable(routetable.Config{Routes: []routetable.Route{
		{Name: "one", Targets: []routetable.Target{{Service: "direct", Weight: 1}, {Service: "both", Weight: 1}}},
		{Name: "many", Sharded: &routetable.Sharded{Shards: []string{"shard", "both"}}},
	}})
	got := calledDirectly(table)
	if len(got) != 1 || !got["direct"] {
		t.Errorf("%v are called directly", got)
	}
}

// TestExtraAttemptsStayWithinTheSlack checks that the tokens of all VMs, with those that
// they earn in one counting window, stay within the users' slack for a service.
func TestExtraAttemptsStayWithinTheSlack(t *testing.T) {
	const slack, window = 188, 10
	d := &Daemon{settings: platform.Settings{}}
	d.settings.Bounds.RetrySlack, d.settings.Bounds.RetryWindow = slack, window*time.Second
	for _, size := range []fleetrpc.Size{{VMs: 9}, {VMs: 32, Executors: 6}, {VMs: 74, Executors: 8}, {VMs: 295, Executors: 18}} {
		for _, isShard := range []bool{false, true} {
			sum := 0.0
			for i := range size.VMs {
				vm := size
				vm.IsExecutor = i < size.Executors
				l := d.budgetLimit(vm, isShard)
				sum += l.Burst + l.PerSecond*window
			}
			if sum > slack {
				t.Errorf("%+v, shard %t: %.0f extra attempts, the slack is %d", size, isShard, sum, slack)
			}
		}
	}
}
