package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

func BenchmarkPickDone(b *testing.B) {
	r, now := newMature(testList(1, fourZones, 9), 0, testCatalog(fourZones, 130, 3), Config{})
	now = warm(r, now)
	report := scatter.Report{Latency: time.Millisecond, Load: 0.3, Instance: "i"}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		shard := i % 130
		i++
		target, ok := r.Pick(now, "svc", shard, nil)
		if !ok {
			b.Fatal("no replica")
		}
		r.Done(now, "svc", shard, target, report)
	}
}

func BenchmarkPickDoneParallel(b *testing.B) {
	r, now := newMature(testList(1, fourZones, 9), 0, testCatalog(fourZones, 130, 3), Config{})
	now = warm(r, now)
	report := scatter.Report{Latency: time.Millisecond, Load: 0.3, Instance: "i"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			shard := i % 130
			i++
			target, ok := r.Pick(now, "svc", shard, nil)
			if ok {
				r.Done(now, "svc", shard, target, report)
			}
		}
	})
}

// BenchmarkUpdate applies a new catalog with the same services, or a VM list in
// which one VM of this VM's zone or of another zone is new and an earlier one
// has expired.
func BenchmarkUpdate(b *testing.B) {
	zones := benchZones()
	for _, size := range []struct{ vms, shards, replicas int }{
		{9, 10, 1}, {9, 10, 10}, {9, 100, 10}, {9, 100, 100}, {105, 100, 100}, {525, 130, 175}, {2100, 130, 700},
	} {
		name := fmt.Sprintf("vms=%d/upstreams=%d", size.vms, size.shards*size.replicas)
		c := testCatalog(zones, size.shards, size.replicas)
		b.Run(name+"/catalog", func(b *testing.B) {
			r, now := newMature(testList(1, zones, size.vms), 0, c, Config{})
			list := testList(1, zones, size.vms)
			twins := [2]*catalog.Catalog{c, testCatalog(zones, size.shards, size.replicas)}
			for i := uint64(0); b.Loop(); i++ {
				next := *twins[i%2]
				next.Version = i + 2
				r.Update(now, &next, list)
			}
		})
		for kind, zone := range map[string]string{"own_zone": zones[0], "other_zone": zones[len(zones)-1]} {
			b.Run(name+"/"+kind, func(b *testing.B) { benchmarkListChange(b, c, zones, size.vms, zone) })
		}
	}
}

func benchmarkListChange(b *testing.B, c *catalog.Catalog, zones []string, vms int, zone string) {
	r, now := newMature(testList(1, zones, vms), 0, c, Config{})
	list := testList(1, zones, vms)
	listed := list.VMs
	for b.Loop() {
		list.Revision++
		joined := membership.VM{ID: fmt.Sprint("vm-new-", list.Revision), Zone: zone}
		list.VMs = append(listed[:len(listed):len(listed)], joined)
		now = now.Add(r.cfg.HoldDown)
		r.Update(now, c, list)
	}
}

func benchZones() []string {
	zones := make([]string, 20)
	for i := range zones {
		zones[i] = fmt.Sprintf("z-%02d", i)
	}
	return zones
}

// BenchmarkMemory reports the heap bytes per Router.
func BenchmarkMemory(b *testing.B) {
	zones := benchZones()
	for _, size := range []struct{ vms, shards, replicas int }{
		{9, 10, 1}, {9, 10, 10}, {9, 100, 10}, {9, 100, 100}, {105, 130, 77}, {2100, 130, 700},
	} {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", size.vms, size.shards*size.replicas), func(b *testing.B) {
			c := testCatalog(zones, size.shards, size.replicas)
			list := testList(1, zones, size.vms)
			routers := make([]*Router, 10)
			before := liveBytes()
			for i := range routers {
				routers[i], _ = newMature(list, 0, c, Config{})
			}
			perRouter := float64(liveBytes()-before) / float64(len(routers))
			b.ReportMetric(perRouter, "B/router")
			b.ReportMetric(float64(len(routers[0].table.Load().upstreams)), "tracked")
			runtime.KeepAlive(routers)
		})
	}
}

func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkTick(b *testing.B) {
	zones := benchZones()
	r, now := newMature(testList(1, zones, 2100), 0, testCatalog(zones, 130, 700), Config{})
	now = warm(r, now)
	for b.Loop() {
		r.Tick(now)
	}
}
