package routing

import (
	"fmt"
	"runtime"
	"testing"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// capacitySizes are fleets of 20 zones with 130 shards.
var capacitySizes = []struct{ vms, replicas int }{{9, 1}, {9, 7}, {105, 70}, {525, 175}, {1050, 350}, {2100, 700}}

// BenchmarkHeld reports how many upstreams one VM has a share of, its
// connections, and the memory that it keeps for them, without the catalog. The
// timed part is a Tick with all of them warm.
func BenchmarkHeld(b *testing.B) {
	zones := make([]string, 20)
	for i := range zones {
		zones[i] = fmt.Sprintf("z-%02d", i)
	}
	for _, size := range capacitySizes {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", size.vms, size.replicas*130), func(b *testing.B) {
			c := testCatalog(zones, 130, size.replicas)
			list := testList(1, zones, size.vms)
			before := inUse()
			r, now := newMature(list, 0, c, Config{})
			now = warm(r, now)
			r.Tick(now)
			held := inUse() - before
			targets := r.Connections(now)
			connections := 0
			for _, t := range targets {
				connections += t.Max
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Tick(now)
			}
			b.ReportMetric(float64(held), "B-held")
			b.ReportMetric(float64(len(targets)), "upstreams-held")
			b.ReportMetric(float64(connections), "connections")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkNewCatalog measures a new version of the configuration for a fleet of
// 20 zones: with every service as it was, and with one service replaced that
// holds all upstreams, which is the dearest case.
func BenchmarkNewCatalog(b *testing.B) {
	zones := make([]string, 20)
	for i := range zones {
		zones[i] = fmt.Sprintf("z-%02d", i)
	}
	for _, replaced := range []int{0, 1} {
		for _, size := range capacitySizes {
			b.Run(fmt.Sprintf("replaced=%d/vms=%d/upstreams=%d", replaced, size.vms, size.replicas*130), func(b *testing.B) {
				list := testList(1, zones, size.vms)
				catalogs := []*catalog.Catalog{testCatalog(zones, 130, size.replicas), testCatalog(zones, 130, size.replicas)}
				r, now := newMature(list, 0, catalogs[0], Config{})
				version := catalogs[0].Version
				b.ReportAllocs()
				for b.Loop() {
					version++
					next := *catalogs[version%2*uint64(replaced)]
					next.Version = version
					r.Update(now, &next, list)
				}
			})
		}
	}
}

func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
