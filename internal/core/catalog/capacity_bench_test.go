package catalog

import (
	"fmt"
	"testing"
)

// BenchmarkAcceptCustomers measures the acceptance of a change of one
// customer's file, by the number of customers, and the memory that the accepted
// state holds besides the files themselves.
func BenchmarkAcceptCustomers(b *testing.B) {
	for _, customers := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			h := largeFolder(1)
			publish := func(i int, rate uint64) {
				h.publish(fmt.Sprintf("40-x%05d.json", i), fmt.Appendf(nil,
					`{"customers":{"x%d":{"rate":%d,"burst":20,"key_hashes":["%064x"]}}}`, i, 10+rate%7, 100000+i))
				h.versions = h.versions[len(h.versions)-1:]
			}
			for i := range customers - 10 {
				publish(i, 0)
			}
			before := heap()
			a := NewAcceptor()
			a.Offer(h.newest().offer())
			held := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				publish(0, h.newest().version)
				o := h.newest().offer()
				b.StartTimer()
				if d := a.Offer(o); d.Outcome != Accepted {
					b.Fatal(d.Outcome)
				}
			}
			b.ReportMetric(float64(held), "B-held")
		})
	}
}
