package configservice

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkParseIndex measures the decoding of a folder's index.
func BenchmarkParseIndex(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2500} {
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			index := Index{Revision: 1 << 30}
			for i := range n {
				index.Files = append(index.Files, FileInfo{
					Name: fmt.Sprintf("30-customer-%04d.json", i), Revision: 1<<30 + uint64(i), Publisher: "operator",
				})
			}
			parse(b, index, &Index{})
		})
	}
}

// BenchmarkParseList measures the decoding of a VM list.
func BenchmarkParseList(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			list := listJSON{Revision: 1 << 30}
			for i := range n {
				list.VMs = append(list.VMs, vmJSON{
					ID: fmt.Sprintf("vm-cz-a-%04d", i), Zone: fmt.Sprintf("cz-%02d", i%20),
					PeerAddress: fmt.Sprintf("10.20.%d.%d:7401", i>>8, i&255), State: "live",
				})
			}
			parse(b, list, &listJSON{})
		})
	}
}

func parse(b *testing.B, from, into any) {
	text, err := json.Marshal(from)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := json.Unmarshal(text, into); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text)), "B/answer")
}
