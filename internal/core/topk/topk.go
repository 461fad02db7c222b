// Package topk merges records of fixed size. `ryecourse gateway` uses it.
package topk

import (
	"bytes"
	"container/heap"
)

// RecordBytes is the size of a record in bytes.
const RecordBytes = 16

// Merge returns the k greatest records of all parts, greatest first. Records
// are compared byte by byte. Duplicates are kept. An incomplete record at the
// end of a part is ignored.
func Merge(parts [][]byte, k int) []byte {
	h := make(minHeap, 0, max(k, 0))
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			h.offer(part[:RecordBytes], k)
		}
	}
	out := make([]byte, len(h)*RecordBytes)
	for i := len(h) - 1; i >= 0; i-- {
		copy(out[i*RecordBytes:], heap.Pop(&h).([]byte))
	}
	return out
}

// minHeap holds the greatest records so far, the least of them on top.
type minHeap [][]byte

func (h *minHeap) offer(record []byte, k int) {
	switch {
	case len(*h) < k:
		heap.Push(h, record)
	case k > 0 && bytes.Compare(record, (*h)[0]) > 0:
		(*h)[0] = record
		heap.Fix(h, 0)
	}
}

// Len implements heap.Interface.
func (h minHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
func (h minHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *minHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop implements heap.Interface.
func (h *minHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
