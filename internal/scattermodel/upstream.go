package main

import (
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

const (
	replicasPerShard  = 3
	slots             = 3
	networkDelay      = 500 * time.Microsecond // one way
	fixedServiceTime  = 3 * time.Millisecond
	randomServiceTime = 2 * time.Millisecond // mean of the exponential part
	slowFraction      = 0.02
	slowFactor        = 20
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

// upstream is one replica: slots, a queue in order of arrival, and cancellation.
type upstream struct {
	id        string
	running   int
	queue     []*call
	frozen    bool
	snapshots []scatter.SnapshotInfo // newest first
}

// call is one attempt at a leaf.
type call struct {
	query      *query
	attempt    int
	shard      int
	sentAt     time.Time
	upstream   *upstream
	snapshotID string // the snapshot, or empty for any
	started    bool
	finished   bool // answered or canceled
}

// snapshotFor returns the snapshot that answers a request, or nil.
func (u *upstream) snapshotFor(id string) *scatter.SnapshotInfo {
	for i := range u.snapshots {
		if id == "" || u.snapshots[i].ID == id {
			return &u.snapshots[i]
		}
	}
	return nil
}

func serviceTime(rng *rand.Rand, s scenario) time.Duration {
	d := fixedServiceTime + time.Duration(rng.ExpFloat64()*float64(randomServiceTime))
	if s == slow && rng.Float64() < slowFraction {
		d *= slowFactor
	}
	return d
}

// arrive puts a call into the leaf's queue.
func (m *model) arrive(c *call) {
	if c.finished {
		return
	}
	if c.upstream.snapshotFor(c.snapshotID) == nil {
		m.After(networkDelay, func() { m.reject(c) })
		return
	}
	c.upstream.queue = append(c.upstream.queue, c)
	m.startQueued(c.upstream)
}

// startQueued starts queued calls while there are slots.
func (m *model) startQueued(u *upstream) {
	for u.running < slots && len(u.queue) > 0 && !u.frozen {
		c := u.queue[0]
		u.queue = u.queue[1:]
		if c.finished {
			continue
		}
		c.started = true
		u.running++
		m.After(serviceTime(m.rng, m.scenario), func() { m.finishWork(c) })
	}
}

// finishWork ends a call's work and sends the answer back.
func (m *model) finishWork(c *call) {
	if c.finished || c.upstream.frozen {
		return
	}
	c.upstream.running--
	m.startQueued(c.upstream)
	s := c.upstream.snapshotFor(c.snapshotID)
	if s == nil {
		m.After(networkDelay, func() { m.reject(c) })
		return
	}
	info := *s
	m.After(networkDelay, func() { m.answer(c, info) })
}

// cancelAtReplica frees what the call holds at its leaf once the leaf has heard of it.
func (m *model) cancelAtReplica(c *call) {
	c.finished = true
	m.After(networkDelay, func() {
		if c.started && !c.upstream.frozen {
			c.upstream.running--
			m.startQueued(c.upstream)
		}
	})
}
