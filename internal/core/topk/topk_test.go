package topk

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMergeEqualsSortingEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 100), 0, 6).Draw(t, "parts")
		k := rapid.IntRange(0, 12).Draw(t, "k")
		var all [][]byte
		for _, p := range parts {
			for i := 0; i+RecordBytes <= len(p); i += RecordBytes {
				all = append(all, p[i:i+RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(k, len(all))], nil)
		if got := Merge(parts, k); !bytes.Equal(got, want) {
			t.Fatalf("merged %x, want %x", got, want)
		}
	})
}
