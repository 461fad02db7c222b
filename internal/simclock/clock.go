// Package simclock provides a virtual clock for models. Events run in the order of
// their times; events with equal times run in the order of their scheduling. Only
// test tools and tests use it.
package simclock

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock. It is not safe for concurrent use.
type Clock struct {
	now    time.Time
	events events
	seq    int
}

// New returns a clock that is set to start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules do after d. A negative d is treated as zero.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// Run runs events until none is left. It calls afterEach, if not nil, after each of
// them.
func (c *Clock) Run(afterEach func()) {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
		if afterEach != nil {
			afterEach()
		}
	}
}

// RunUntil runs the events up to and including end and sets the clock to end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
