package main

import (
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

const (
	replicas      = 3
	slots         = 3
	networkDelay  = 500 * time.Microsecond // one way
	fixedService  = 3 * time.Millisecond
	randomService = 2 * time.Millisecond // mean of the exponential part
	slowShare     = 0.02
	slowFactor    = 20
)

// scenario is what goes wrong in a run.
type scenario int

const (
	// healthy has no slow answers.
	healthy scenario = iota
	// slow has slowShare of the answers take slowFactor times as long.
	slow
	// frozen is healthy until one replica of each group stops answering.
	frozen
	// overlap is healthy while replicas take a new snapshot one after the other
	// and keep the old one for a while.
	overlap
	// longOverlap is the same, but all replicas hold both for a time.
	longOverlap
	// exchange is the same, but each replica drops the old snapshot at once.
	exchange
)

func (s scenario) String() string {
	return [...]string{"healthy", "slow", "frozen", "overlap", "long", "exchange"}[s]
}

// leaf is one replica: slots, a queue in order of arrival, and cancellation.
type leaf struct {
	id      string
	running int
	queue   []*call
	frozen  bool
	holds   []scatter.SnapshotInfo // newest first
}

// call is one attempt at a leaf.
type call struct {
	query    *query
	attempt  int
	shard    int
	sentAt   time.Time
	leaf     *leaf
	wanted   string // the snapshot, or empty for any
	started  bool
	finished bool // answered or canceled
}

// find returns the snapshot that answers a request, or nil.
func (l *leaf) find(wanted string) *scatter.SnapshotInfo {
	for i := range l.holds {
		if wanted == "" || l.holds[i].ID == wanted {
			return &l.holds[i]
		}
	}
	return nil
}

func serviceTime(rng *rand.Rand, s scenario) time.Duration {
	d := fixedService + time.Duration(rng.ExpFloat64()*float64(randomService))
	if s == slow && rng.Float64() < slowShare {
		d *= slowFactor
	}
	return d
}

// arrive puts a call into the leaf's queue.
func (m *model) arrive(c *call) {
	if c.finished {
		return
	}
	if c.leaf.find(c.wanted) == nil {
		m.After(networkDelay, func() { m.reject(c) })
		return
	}
	c.leaf.queue = append(c.leaf.queue, c)
	m.fill(c.leaf)
}

// fill starts queued calls while there are slots.
func (m *model) fill(l *leaf) {
	for l.running < slots && len(l.queue) > 0 && !l.frozen {
		c := l.queue[0]
		l.queue = l.queue[1:]
		if c.finished {
			continue
		}
		c.started = true
		l.running++
		m.After(serviceTime(m.rng, m.scenario), func() { m.serve(c) })
	}
}

// serve ends a call's work and sends the answer back.
func (m *model) serve(c *call) {
	if c.finished || c.leaf.frozen {
		return
	}
	c.leaf.running--
	m.fill(c.leaf)
	s := c.leaf.find(c.wanted)
	if s == nil {
		m.After(networkDelay, func() { m.reject(c) })
		return
	}
	info := *s
	m.After(networkDelay, func() { m.answer(c, info) })
}

// cancel frees what the call holds at its leaf once the leaf has heard of it.
func (m *model) cancel(c *call) {
	c.finished = true
	m.After(networkDelay, func() {
		if c.started && !c.leaf.frozen {
			c.leaf.running--
			m.fill(c.leaf)
		}
	})
}
