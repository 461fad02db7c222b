package routing

import (
	"slices"
	"sync"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

// subset returns the IDs of the upstreams of the shard that the Router may
// connect to.
func subset(r *Router, shard int) []string {
	s := &r.table.Load().services["svc"].shards[shard]
	var ids []string
	for _, u := range slices.Concat(s.near, s.far) {
		ids = append(ids, u.id)
	}
	return ids
}

// largeVMs and largeReplicas are the VMs and the replicas of a shard in 4 of
// the 20 zones of a fleet of 2100 VMs: 105 VMs and 35 replicas in each zone.
const largeVMs, largeReplicas = 420, 140

// TestSubsetsInLargeFleet checks that each VM has several upstreams of a shard,
// that no upstream exceeds its connection limit, and that few connections move
// when a VM leaves.
func TestSubsetsInLargeFleet(t *testing.T) {
	list := testList(1, fourZones, largeVMs)
	c := testCatalog(fourZones, 1, largeReplicas)
	connections := map[string]int{}
	smallest, largest, withoutLocal := 1<<20, 0, 0
	var before []*Router
	for i := range list.VMs {
		r, now := newMature(list, i, c, Config{})
		n := 0
		for _, target := range r.Connections(now) {
			connections[target.Upstream] += target.Max
			n += min(target.Max, 1)
		}
		smallest, largest = min(smallest, n), max(largest, n)
		if len(r.table.Load().services["svc"].shards[0].near) == 0 {
			withoutLocal++
		}
		if i%len(fourZones) == 0 {
			before = append(before, r)
		}
	}
	most := 0
	for _, n := range connections {
		most = max(most, n)
	}
	t.Logf("subsets of %d to %d upstreams, at most %d connections at one, %d VMs without an upstream in their zone",
		smallest, largest, most, withoutLocal)
	if smallest < 2 || most > 30 || withoutLocal > 0 || len(connections) != largeReplicas {
		t.Error("subsets are not balanced")
	}
	requireStable(t, before, list.VMs[len(fourZones)].ID)
}

// requireStable removes one VM and counts the upstreams that are new to the
// other VMs of its zone.
func requireStable(t *testing.T, routers []*Router, leaver string) {
	t.Helper()
	next := testList(2, fourZones, largeVMs)
	for i := range next.VMs {
		if next.VMs[i].ID == leaver {
			next.VMs = slices.Delete(next.VMs, i, i+1)
			break
		}
	}
	moved, all := 0, 0
	for _, r := range routers {
		if r.self.ID == leaver {
			continue
		}
		old := subset(r, 0)
		now := testStart.Add(time.Minute)
		r.Update(now, r.catalog, next)
		r.Tick(now.Add(r.cfg.HoldDown))
		for _, id := range subset(r, 0) {
			all++
			if !slices.Contains(old, id) {
				moved++
			}
		}
	}
	t.Logf("%d of %d pairs moved when one of %d VMs left", moved, all, len(routers))
	if moved*len(routers) > 3*all {
		t.Error("subsets are not stable")
	}
}

// TestSilentColdIsBounded turns an upstream cold without any notification.
// Until the first answer reports it, a VM must run no more requests there than
// it has connections.
func TestSilentColdIsBounded(t *testing.T) {
	list := testList(1, fourZones, 9)
	c := testCatalog(fourZones, 1, 1)
	total := 0
	for i := range list.VMs {
		r, now := newMature(list, i, c, Config{})
		now = warm(r, now)
		r.lookup("u-0-0").spare = 100 * spareUnit
		r.lookup("u-0-0").refreshLimit()
		var last scatter.Target
		for {
			target, ok := r.Pick(now, "svc", 0, nil)
			if !ok {
				break
			}
			last = target
			total++
		}
		r.Done(now, "svc", 0, last, scatter.Report{Latency: time.Millisecond, Cold: true})
		if _, ok := r.Pick(now, "svc", 0, nil); ok {
			t.Error("a request was sent after the upstream was found cold")
		}
		if !slices.ContainsFunc(r.Tick(now), func(a Action) bool { _, ok := a.(ColdNotice); return ok }) {
			t.Error("no cold notice was queued for the other VMs")
		}
	}
	if total > fleetWideParts(30).home {
		t.Errorf("%d requests ran, the shares add up to %d connections", total, fleetWideParts(30).home)
	}
}

// TestModelColdStartFailsWithRandomReplica checks that the model detects too
// much load at a cold upstream.
func TestModelColdStartFailsWithRandomReplica(t *testing.T) {
	m := runModel(setup{seed: 1, vms: 8, perVM: 60, duration: time.Second, cold: true, policy: newRandomReplica})
	if m.maxOverCapacity <= 0 {
		t.Fatal("random replicas without permits stayed within the capacity of cold upstreams")
	}
}

// TestPausedVMSendsNothingToDrainedZone pauses a VM while its zone is taken
// out. A control: without the bound on the view's age the VM must send there.
func TestPausedVMSendsNothingToDrainedZone(t *testing.T) {
	list := testList(1, fourZones, 1)
	for _, limitViewAge := range []bool{true, false} {
		cfg := Config{}
		if !limitViewAge {
			cfg.MaxViewAge = time.Hour
		}
		r, now := newMature(list, 0, testCatalog(fourZones, 1, 1), cfg)
		now = warm(r, now).Add(10 * time.Second)
		_, sent := r.Pick(now, "svc", 0, nil)
		if sent == limitViewAge {
			t.Errorf("view age limited %t: sent %t", limitViewAge, sent)
		}
	}
}

// TestConcurrentUse exercises the Router's methods concurrently for the race
// detector.
func TestConcurrentUse(t *testing.T) {
	list := testList(1, fourZones, 2)
	c := testCatalog(fourZones, 4, 3)
	r, now := newMature(list, 0, c, Config{})
	now = warm(r, now)
	var traffic sync.WaitGroup
	for range 4 {
		traffic.Go(func() {
			for i := range 2000 {
				target, ok := r.Pick(now, "svc", i%4, nil)
				if ok {
					r.Done(now, "svc", i%4, target, scatter.Report{Latency: time.Millisecond, Outcome: scatter.Outcome(i % 9)})
				}
			}
		})
	}
	for i := range 100 {
		r.Update(now, c, testList(uint64(i+2), fourZones, 2+i%2))
		r.Tick(now)
		r.Connections(now)
		r.Status(now)
		r.OnRampQuery(now, []RampQuestion{{Upstream: "u-0-0", WantPermit: true}})
	}
	traffic.Wait()
	for _, u := range r.Status(now).Upstreams {
		if u.Running != 0 {
			t.Errorf("%s still runs %d", u.Upstream, u.Running)
		}
	}
}

// TestFleetGrowthDrainsLostUpstreams grows the fleet beyond fleet-wide sharing.
// A VM must drain the upstreams of zones that are neither its home zone nor its
// fallback zone.
func TestFleetGrowthDrainsLostUpstreams(t *testing.T) {
	c := testCatalog(fourZones, 1, 8)
	r, now := newMature(testList(1, fourZones, 8), 0, c, Config{})
	before := len(subset(r, 0))
	r.Tick(now)
	r.Update(now, c, testList(2, fourZones, 60))
	lost := 0
	for _, a := range r.Tick(now) {
		if audit, ok := a.(Audit); ok && audit.Change == ChangeDrained && audit.Cause == CauseVMList {
			lost++
		}
	}
	if before != 8 || lost < 4 || len(subset(r, 0)) > before-lost {
		t.Errorf("%d upstreams before, %d lost, %d after", before, lost, len(subset(r, 0)))
	}
	if peers := r.Sharers(subset(r, 0)[0]); len(peers) < 2 || slices.Contains(peers, r.self.ID) {
		t.Errorf("sharers: %v", peers)
	}
}
