// Package placement chooses the upstream of an attempt from what this VM has
// seen of each instance: how fast it answers, what fails there, what it still
// owes, and what load it tells.
//
// The package has no I/O; callers pass the time.
package placement

import (
	"math"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

const (
	// slownessHalfLife is the time after which half of what is known about an
	// instance's speed and failures is forgotten, so that it is tried again.
	slownessHalfLife = 2500 * time.Millisecond
	// slownessWeight is the weight of a new sample in the moving average.
	slownessWeight = 0.3
	// maxSlowness bounds one sample, so that a single pause of an upstream
	// doesn't outweigh its other answers.
	maxSlowness = 8
	// failurePenalty is added to the score for a failed attempt; in multiples of
	// the usual latency.
	failurePenalty = 6
	// maxPenalty bounds the sum of penalties.
	maxPenalty = 40
	// remotePenalty is the preference for upstreams in this VM's zone.
	remotePenalty = 0.6
	// overduePenalty applies while an attempt is out for longer than usual: the
	// instance may pause.
	overduePenalty = 8
	// loadMaxAge is how long a told load counts.
	loadMaxAge = 300 * time.Millisecond
	// rejectPenalty is added to the score of an instance that rejects requests
	// though it has room, while no repeats are left; it is what a shard that fails
	// costs its query. maxRejectPenalty bounds the sum, so that the last sound
	// instance of a shard isn't overloaded.
	rejectPenalty    = 6
	maxRejectPenalty = 20
	// fullPenalty is added to the score of an instance that was full.
	fullPenalty = 1
	// avoidDuration is how long an instance that was full is avoided.
	avoidDuration = 100 * time.Millisecond
	// jitter spreads instances with the same score.
	jitter = 0.15
)

// Instance is one instance of an upstream. Its fields are guarded by the Picker.
type Instance struct {
	Upstream routetable.Upstream

	slowness         float64 // moving average of latency over the usual; 1 is usual
	rejectPenaltySum float64 // sum of penalties for rejections while it had room
	penalty          float64
	updatedAt        time.Time

	inFlight       []*Attempt
	reportedLoad   float64 // told running and waiting requests, per slot
	loadReportedAt time.Time
	avoidUntil     time.Time
	replaced       bool
	coldUntil      time.Time
	cold           coldLimiter
}

// Attempt is one attempt that is out at a node.
type Attempt struct {
	Instance *Instance
	// Upstream is the instance as it was announced when it was picked.
	Upstream routetable.Upstream
	sentAt   time.Time
	// typicalLatency is the latency that is typicalLatency for such requests.
	typicalLatency time.Duration
}

// Outcome is what became of a flight.
type Outcome uint8

// The outcomes of flights.
const (
	// Answered means that a usable answer came.
	Answered Outcome = iota
	// Failed means a broken connection, a timeout or an error of the upstream.
	Failed
	// Rejected means that the upstream was full.
	Rejected
	// WrongInstance means that another instance answers at the address.
	WrongInstance
	// Unreachable means that no connection could be opened.
	Unreachable
	// Canceled means that this VM gave up; only the time spent says something.
	Canceled
)

func newInstance(u routetable.Upstream, now time.Time) *Instance {
	return &Instance{Upstream: u, slowness: 1, updatedAt: now}
}

// decay forgets a part of what is known.
func (inst *Instance) decay(now time.Time) {
	dt := now.Sub(inst.updatedAt)
	if dt <= 0 {
		return
	}
	factor := math.Exp2(-dt.Seconds() / slownessHalfLife.Seconds())
	inst.slowness = 1 + (inst.slowness-1)*factor
	inst.penalty *= factor
	inst.rejectPenaltySum *= factor
	inst.updatedAt = now
}

func (inst *Instance) observe(now time.Time, slowness float64) {
	inst.decay(now)
	inst.slowness += slownessWeight * (min(slowness, maxSlowness) - inst.slowness)
}

func (inst *Instance) fail(now time.Time, penalty float64) {
	inst.decay(now)
	inst.penalty = min(inst.penalty+penalty, maxPenalty)
}

// reject notes that the instance refused a request. One that is full will soon have
// room again; one that refuses while it has room is faulty.
func (inst *Instance) reject(now time.Time, l *Load) {
	if l.hasRoom() {
		inst.decay(now)
		inst.rejectPenaltySum = min(inst.rejectPenaltySum+rejectPenalty, maxRejectPenalty)
		return
	}
	inst.fail(now, fullPenalty)
	inst.avoidUntil = now.Add(avoidDuration)
}

// overdue reports whether an attempt has been out for far longer than usual.
func (inst *Instance) overdue(now time.Time) bool {
	for _, a := range inst.inFlight {
		if now.Sub(a.sentAt) > overdueFactor*a.typicalLatency+overdueFloor {
			return true
		}
	}
	return false
}

const (
	// overdueFactor and overdueFloor say when an attempt is out for unusually
	// long: the tail of usual work stays below.
	overdueFactor = 3
	overdueFloor  = 4 * time.Millisecond
)

// score is the expected latency in multiples of the usual, with penalties.
func (inst *Instance) score(now time.Time, zone string, random, scarcity float64) float64 {
	inst.decay(now)
	slots := float64(max(inst.Upstream.Slots, 1))
	busy := float64(len(inst.inFlight)) / slots
	if now.Sub(inst.loadReportedAt) < loadMaxAge {
		busy = max(busy, inst.reportedLoad)
	}
	s := inst.slowness*(1+busy) + inst.penalty + inst.rejectPenaltySum*scarcity + random*jitter
	if inst.Upstream.Zone != zone {
		s += remotePenalty
	}
	if inst.overdue(now) {
		s += overduePenalty
	}
	if now.Before(inst.avoidUntil) {
		s += overduePenalty
	}
	return s
}

func (inst *Instance) remove(a *Attempt) {
	if i := slices.Index(inst.inFlight, a); i >= 0 {
		inst.inFlight = slices.Delete(inst.inFlight, i, i+1)
	}
}
