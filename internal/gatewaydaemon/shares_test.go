package gatewaydaemon

import (
	"maps"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/connshare"
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

// TestSharesFollowWhatTheyDependOn guards against a division that is kept after its
// instances, their limit or the fleet have changed.
func TestSharesFollowWhatTheyDependOn(t *testing.T) {
	small := connshare.Fleet{Self: "a", Zone: "z0", VMs: 10, ByZone: map[string]int{"z0": 10}}
	large := small
	large.VMs = 20
	u, v := connshare.Replica{ID: "u", Zone: "z0"}, connshare.Replica{ID: "v", Zone: "z0"}
	var c shareCache
	for i, step := range []struct {
		fleet    connshare.Fleet
		replicas []connshare.Replica
		limit    int
	}{
		{small, []connshare.Replica{u}, 100}, {small, []connshare.Replica{u}, 100}, {small, []connshare.Replica{u, v}, 100},
		{small, []connshare.Replica{u, v}, 50}, {large, []connshare.Replica{u, v}, 50}, {small, []connshare.Replica{v}, 50},
	} {
		got := c.divide(c.take(step.fleet), "s", division{replicas: step.replicas, limit: step.limit, isShard: true})
		if want := step.fleet.Shares(step.replicas, step.limit, true); !maps.Equal(got, want) {
			t.Errorf("step %d: the shares are %v, want %v", i, got, want)
		}
	}
}
