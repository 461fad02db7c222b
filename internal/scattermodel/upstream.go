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

// scenario is the kind of disturbance in a run.
type scenario int

const (
	// healthy has no slow answers.
	healthy scenario = iota
	// slow has a slowFraction of answers that take slowFactor times as long.
	slow
	// frozen is healthy until one replica of each shard stops answering.
	frozen
	// overlap is healthy, but replicas switch to a new snapshot one after the other
	// and keep the old one for overlapTime.
	overlap
	// longOverlap is like overlap, but replicas keep the old snapshot for
	// rolloutTime, so that all of them have both for a while.
	longOverlap
	// exchange is like overlap, but replicas drop the old snapshot at once.
	exchange
)

func (s scenario) String() string {
	return [...]string{"healthy", "slow", "frozen", "overlap", "long", "exchange"}[s]
}

// upstream is one replica of a shard. It has slots and a queue in order of arrival,
// and supports cancellation.
type upstream struct {
	id        string
	running   int
	queue     []*call
	frozen    bool
	snapshots []scatter.SnapshotInfo // newest first
}

// call is one attempt at an upstream.
type call struct {
	query      *query
	attempt    int
	shard      int
	sentAt     time.Time
	upstream   *upstream
	snapshotID string // the required snapshot, or empty for any
	started    bool
	finished   bool // answered or canceled
}

// snapshotFor returns the snapshot with the given ID, or the newest one if the ID is
// empty. It returns nil if the upstream lacks the snapshot.
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

// arrive adds a call to the queue of its upstream, or rejects it if the upstream
// lacks the snapshot.
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

// startQueued starts queued calls while the upstream has free slots.
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

// finishWork ends the work on a call and sends the answer.
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

// cancelAtUpstream cancels a call. Its slot is released when the cancellation arrives
// at the upstream.
func (m *model) cancelAtUpstream(c *call) {
	c.finished = true
	m.After(networkDelay, func() {
		if c.started && !c.upstream.frozen {
			c.upstream.running--
			m.startQueued(c.upstream)
		}
	})
}
