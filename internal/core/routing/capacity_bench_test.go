package routing

import (
	"fmt"
	"runtime"
	"testing"
)

// capacitySizes are fleets of 20 zones with 130 shards.
var capacitySizes = []struct{ vms, replicas int }{{9, 1}, {9, 7}, {105, 70}, {525, 175}, {1050, 350}, {2100, 700}}

// BenchmarkHeld reports how many upstreams one VM has a share of, its
// connections, and the memory that it uses for them, without the catalog. The
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

func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
