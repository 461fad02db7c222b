package catalog

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// largeFolder returns a folder with the given number of services, each of 130
// shards of 3 replicas in a file of its own, and ten customers for each.
func largeFolder(services int) *history {
	const shards, replicas, customers = 130, 3, 10
	h := newHistory()
	v := folderVersion{version: 1, files: make(map[string]File)}
	add := func(name, content string) {
		v.files[name] = File{Name: name, Revision: 1, Content: []byte(content)}
	}
	add("10-zones.json", `{"zones":{"z0":{},"z1":{},"z2":{}}}`)
	for s := range services {
		var b strings.Builder
		fmt.Fprintf(&b, `{"services":{"s%d":{"slots":2,"connections":30,"deadline_ms":110,"shards":[`, s)
		for shard := range shards {
			b.WriteString(strings.Repeat(",", min(shard, 1)) + "[")
			for r := range replicas {
				n := (s*shards+shard)*replicas + r
				fmt.Fprintf(&b, `%s{"id":"u%d","address":"10.%d.%d.%d:80","zone":"z%d"}`, strings.Repeat(",", min(r, 1)), n, n>>16, n>>8&255, n&255, r)
			}
			b.WriteString("]")
		}
		b.WriteString("]}}}")
		add(fmt.Sprintf("20-s%d.json", s), b.String())
		for c := range customers {
			add(fmt.Sprintf("30-c%d-%d.json", s, c), fmt.Sprintf(`{"customers":{"c%d-%d":{"rate":10,"burst":20,"key_hashes":["%064x"]}}}`, s, c, s*customers+c))
		}
	}
	h.versions = append(h.versions, v)
	return h
}

// heap returns the heap bytes in use after a garbage collection.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkAccept measures the acceptance of a change of one small file, by the
// number of upstreams, and the memory that the accepted state retains in addition
// to the files themselves.
func BenchmarkAccept(b *testing.B) {
	for _, services := range []int{1, 23, 234} {
		b.Run(fmt.Sprintf("upstreams=%d", services*390), func(b *testing.B) {
			h := largeFolder(services)
			before := heap()
			a := NewAcceptor()
			a.Offer(h.newest().offer())
			retained := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				h.versions = h.versions[len(h.versions)-1:]
				h.publish("90-drain.json", fmt.Appendf(nil, `{"upstreams":{"u0":{"draining":%v}}}`, h.newest().version%2 == 0))
				o := h.newest().offer()
				b.StartTimer()
				if d := a.Offer(o); d.Outcome != Accepted || len(d.Changes) > 1 {
					b.Fatal(d.Outcome, len(d.Changes))
				}
			}
			b.ReportMetric(float64(retained)/(1<<20), "MiB-held")
		})
	}
}
