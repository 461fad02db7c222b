package audit

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// BenchmarkAdd measures adding one entry, and the memory of a trail after Capacity
// entries.
func BenchmarkAdd(b *testing.B) {
	entry := func(i int) Entry {
		return Entry{
			Time: time.Unix(1_700_000_000, 0), Kind: "quota_lent", Subject: fmt.Sprintf("customer-%04d", i),
			Cause: fmt.Sprintf("with vm-cz-a-%04d: rate 12.345 requests/s, capacity 23.456 requests", i),
		}
	}
	before := inUse()
	trail := New(zerolog.New(io.Discard))
	for i := range Capacity {
		trail.Add(entry(i))
	}
	held := inUse() - before
	e := entry(0)
	b.ReportAllocs()
	for b.Loop() {
		trail.Add(e)
	}
	b.ReportMetric(float64(held), "B-held")
}

func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
