// Package soak runs the decision code of a whole fleet on a virtual clock, with
// small fakes of the platform, the network, the upstreams and the callers, while
// random faults happen, and checks what must hold at all times.
//
// It is a test tool and not part of the product. A run is a function of its
// seed.
package soak

import (
	"container/heap"
	"time"
)

// event is something that happens at a time of the virtual clock.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// clock runs events in the order of their times.
type clock struct {
	now   time.Time
	seq   uint64
	queue eventQueue
}

func newClock() *clock {
	return &clock{now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// after runs do when d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, &event{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// advance runs all events of the next d.
func (c *clock) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(*event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
