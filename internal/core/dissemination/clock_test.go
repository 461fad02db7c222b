package dissemination

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time of the virtual clock.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// clock is a virtual clock that runs events in the order of their times.
type clock struct {
	now   time.Time
	queue eventQueue
	seq   int
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(d), seq: c.seq, do: do})
}

// run runs events until the condition holds after one of them, or until d has
// passed. It returns whether the condition held.
func (c *clock) run(d time.Duration, until func() bool) bool {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
		if until != nil && until() {
			return true
		}
	}
	c.now = end
	return false
}
