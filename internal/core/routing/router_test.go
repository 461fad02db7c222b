package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// TestMain sets the defaults of the property tests, unless a flag overrides
// them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.checks":     "800",
		"rapid.steps":      "80",
		"rapid.shrinktime": "500ms",
		"rapid.nofailfile": "true",
	} {
		if !isSet(name) {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func isSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestRNG(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func testList(revision uint64, zones []string, count int) membership.List {
	l := membership.List{Revision: revision}
	for i := range count {
		id := fmt.Sprintf("vm-%04d", i)
		l.VMs = append(l.VMs, membership.VM{ID: id, Zone: zones[i%len(zones)]})
	}
	return l
}

// testCatalog returns a catalog with one service "svc" whose replicas are
// distributed over the zones.
func testCatalog(zones []string, shards, replicas int) *catalog.Catalog {
	c := &catalog.Catalog{
		Version:  1,
		Services: map[string]*catalog.Service{},
		Zones:    map[string]*catalog.Zone{},
	}
	for _, z := range zones {
		c.Zones[z] = &catalog.Zone{Name: z}
	}
	svc := &catalog.Service{
		Name: "svc", Slots: 3, Connections: 30, ColdPermits: 1, Idempotent: true,
		Deadline: modelDeadline,
	}
	for s := range shards {
		var shard catalog.Shard
		for k := range replicas {
			shard.Replicas = append(shard.Replicas, catalog.Upstream{
				ID:      fmt.Sprintf("u-%d-%d", s, k),
				Address: fmt.Sprintf("10.0.%d.%d:80", s, k),
				Zone:    zones[(s+k)%len(zones)],
			})
		}
		svc.Shards = append(svc.Shards, shard)
	}
	c.Services["svc"] = svc
	return c
}

var fourZones = []string{"cz-a", "cz-b", "cz-c", "cz-d"}

// newMature returns a Router whose initial hold-down is over, and the present
// time.
func newMature(list membership.List, self int, c *catalog.Catalog, cfg Config) (*Router, time.Time) {
	r := New(list.VMs[self], newTestRNG(uint64(self)+1), cfg)
	r.Update(testStart, c, list)
	now := testStart.Add(maturationPeriod(r.cfg.HoldDown))
	r.Tick(now)
	r.ConfirmView(now)
	return r, now
}

// warm applies notices that make every upstream of a Router warm, and returns
// the present time.
func warm(r *Router, now time.Time) time.Time {
	now = now.Add(time.Second)
	for id := range r.table.Load().upstreams {
		r.OnRampNotice(now, RampNotice{Upstream: id, Stage: 10})
	}
	r.ConfirmView(now)
	return now
}

func TestNewVMWaitsForHoldDown(t *testing.T) {
	list := testList(1, fourZones, 1)
	r := New(list.VMs[0], newTestRNG(1), Config{})
	r.Update(testStart, testCatalog(fourZones, 1, 3), list)
	if _, ok := r.Pick(testStart, "svc", 0, nil); ok {
		t.Fatal("picked before the hold-down was over")
	}
	now := testStart.Add(maturationPeriod(r.cfg.HoldDown))
	r.Tick(now)
	r.ConfirmView(now)
	if _, ok := r.Pick(now, "svc", 0, nil); !ok {
		t.Fatal("no pick after the hold-down")
	}
}

func TestPickRefusesOldView(t *testing.T) {
	r, now := newMature(testList(1, fourZones, 1), 0, testCatalog(fourZones, 1, 3), Config{})
	late := now.Add(r.cfg.MaxViewAge + 1)
	if _, ok := r.Pick(late, "svc", 0, nil); ok {
		t.Fatal("picked on a stale view")
	}
	r.ConfirmView(late)
	if _, ok := r.Pick(late, "svc", 0, nil); !ok {
		t.Fatal("no pick on a confirmed view")
	}
}

func TestDrainActsAtNextPick(t *testing.T) {
	list := testList(1, fourZones, 1)
	c := testCatalog(fourZones, 1, 3)
	r, now := newMature(list, 0, c, Config{})
	drained := testCatalog(fourZones, 1, 3)
	drained.Version = 2
	drained.Services["svc"].Shards[0].Replicas[0].Draining = true
	drained.Zones["cz-b"].OutOfService = true
	r.Update(now, drained, list)
	for range 100 {
		target, ok := r.Pick(now, "svc", 0, nil)
		if !ok {
			t.Fatal("the remaining replica refused")
		}
		if target.Upstream != "u-0-2" {
			t.Fatalf("picked %s", target.Upstream)
		}
		r.Done(now, "svc", 0, target, scatter.Report{Latency: time.Millisecond})
	}
}
