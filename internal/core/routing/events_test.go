package routing

import (
	"container/heap"
	"time"
)

// event is a scheduled callback of the model. seq orders events of the same
// time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now.Add(d), seq: m.seq, run: run})
}
