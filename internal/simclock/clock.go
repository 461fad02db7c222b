// Package simclock is a virtual clock for models: events in the order of their
// times, and of their scheduling where the times are equal.
package simclock

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock. It belongs to one goroutine.
type Clock struct {
	now    time.Time
	events events
	seq    int
}

// New returns a clock that stands at the given time.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules do. Times in the past are taken as now.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

// Run runs all events, and afterEach, which may be nil, after each of them.
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

// RunUntil runs the events up to the given time and moves the clock there.
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
