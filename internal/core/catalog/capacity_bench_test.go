package catalog

import (
	"compress/gzip"
	"fmt"
	"io"
	"strings"
	"testing"
)

// BenchmarkAcceptCustomers measures the acceptance of a change of one
// customer's file, by the number of customers, and the memory that the accepted
// state retains in addition to the files themselves.
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
			retained := heap() - before
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
			b.ReportMetric(float64(retained), "B-held")
		})
	}
}

// countingWriter counts the bytes written.
type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

// BenchmarkFolder reports the size of the whole folder, which a new daemon
// receives from a peer, uncompressed and compressed, and the time to compress it.
func BenchmarkFolder(b *testing.B) {
	for _, services := range []int{1, 23, 234} {
		b.Run(fmt.Sprintf("upstreams=%d", services*390), func(b *testing.B) {
			files := largeFolder(services).newest().offer().Files
			size, compressed := 0, countingWriter(0)
			for b.Loop() {
				size, compressed = 0, 0
				w := gzip.NewWriter(&compressed)
				for _, f := range files {
					size += len(f.Content)
					if _, err := io.Copy(w, strings.NewReader(string(f.Content))); err != nil {
						b.Fatal(err)
					}
				}
				if err := w.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "B-folder")
			b.ReportMetric(float64(compressed), "B-gzip")
		})
	}
}
