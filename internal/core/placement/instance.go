// Package placement chooses the upstream instance of an attempt from what this
// VM has observed of each instance: its latency, its failures, its attempts in
// flight and the load that it reports. It is used by `ryecourse gateway`.
//
// An upstream announces itself; each run of its process is an instance. Slots are
// the number of requests that an instance runs concurrently. An instance is cold for
// the time that it announces, while it warms up; the requests of all VMs to it are
// then limited. A zone is evacuated if operators have taken its
// upstreams out of use. The typical latency of a request is the median for
// requests of its kind.
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
	// slownessHalfLife is the half-life of the observations of an instance's
	// speed and failures. The decay lets a slow or failing instance be tried
	// again.
	slownessHalfLife = 2500 * time.Millisecond
	// slownessWeight is the weight of a new sample in the moving average.
	slownessWeight = 0.3
	// maxSlowness bounds one sample, so that a single pause of an instance
	// doesn't outweigh its other answers.
	maxSlowness = 8
	// failurePenalty is added to the score for a failed attempt, in multiples
	// of the typical latency.
	failurePenalty = 6
	// maxPenalty bounds the sum of penalties.
	maxPenalty = 40
	// zoneWait is how long a request may wait in its VM's zone before another zone is
	// better. It exceeds the time of crossing zones, as crossing also costs bandwidth, and
	// is short against latency objectives. maxRemotePenalty bounds it for short work.
	zoneWait         = 10 * time.Millisecond
	maxRemotePenalty = 0.6
	// overduePenalty is added to the score while an attempt is overdue, since
	// the instance may be paused, and while the instance is avoided.
	overduePenalty = 8
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = 300 * time.Millisecond
	// rejectPenalty is added to the score of an instance that rejects requests
	// although it has free slots. It is scaled by the scarcity of extra
	// attempts and stands for what a failed shard costs its query.
	// maxRejectPenalty bounds the sum, so that the last healthy instance of a
	// shard isn't overloaded.
	rejectPenalty    = 6
	maxRejectPenalty = 20
	// fullPenalty is added to the score of an instance that rejected a request
	// because it was full.
	fullPenalty = 1
	// avoidDuration is how long an instance that was full or unreachable is
	// avoided.
	avoidDuration = 100 * time.Millisecond
	// jitter randomizes the choice among instances with similar scores.
	jitter = 0.15
)

// Instance is one instance of an upstream with what this VM has observed of it.
// Its fields are guarded by the Picker.
type Instance struct {
	// Announcement is the latest announcement.
	Announcement routetable.Upstream

	slowness         float64 // moving average of latency divided by typical latency
	rejectPenaltySum float64 // for rejections while it had free slots
	penalty          float64
	updatedAt        time.Time

	inFlight       []*Attempt
	reportedLoad   float64 // running and queued requests per slot, as last reported
	loadReportedAt time.Time
	// work is a moving average of the time that a slot is used for a request.
	work       time.Duration
	slowdown   slowdown
	avoidUntil time.Time
	replaced   bool      // another instance has answered at the address
	coldUntil  time.Time // zero if the instance has never announced that it is cold
	cold       coldLimiter
	// returning and answers are the pace's, at paceVersion.
	returning, answers bool
	paceVersion        uint64
	pickedAt           time.Time // of the last attempt
}

// Attempt is one attempt in flight at an instance.
type Attempt struct {
	Instance *Instance
	// Upstream is the instance's announcement at the time of the pick.
	Upstream routetable.Upstream
	sentAt   time.Time // of the pick until MarkSent
	sent     bool      // MarkSent was called
	// pickedCold is set if the pick counts for the limit of a cold instance.
	pickedCold bool
	// typicalLatency is the typical latency of such requests; 0 if unknown.
	typicalLatency time.Duration
}

// Outcome classifies the end of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that a usable answer was received.
	Answered Outcome = iota
	// Failed means a broken connection, a timeout or an error response.
	Failed
	// Rejected means that the upstream rejected the request, because it was
	// full or although it had free slots.
	Rejected
	// WrongInstance means that another instance answers at the address.
	WrongInstance
	// Unreachable means that no connection could be opened.
	Unreachable
	// Canceled means that this VM canceled the attempt. Only its duration is
	// used.
	Canceled
)

func newInstance(u routetable.Upstream, now time.Time) *Instance {
	return &Instance{Announcement: u, slowness: 1, updatedAt: now}
}

// decay ages the observations up to now.
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

// reject records that the instance rejected a request. An instance that is full
// will soon have free slots again; one that rejects although it has some is
// faulty.
func (inst *Instance) reject(now time.Time, l *Load) {
	if l.hasRoom() {
		inst.decay(now)
		inst.rejectPenaltySum = min(inst.rejectPenaltySum+rejectPenalty, maxRejectPenalty)
		return
	}
	inst.fail(now, fullPenalty)
	inst.avoidUntil = now.Add(avoidDuration)
}

// overdue reports whether an attempt has been in flight for far longer than is
// typical.
func (inst *Instance) overdue(now time.Time) bool {
	for _, a := range inst.inFlight {
		if now.Sub(a.sentAt) > overdueFactor*a.typicalLatency+overdueFloor {
			return true
		}
	}
	return false
}

// isFailing reports whether recent attempts have failed or are overdue, other than because
// the instance is full.
func (inst *Instance) isFailing(now time.Time) bool {
	if now.Sub(inst.loadReportedAt) < loadMaxAge && inst.reportedLoad >= 1 {
		return false
	}
	inst.decay(now)
	return inst.penalty >= failurePenalty/2 || inst.overdue(now)
}

const (
	// overdueFactor and overdueFloor define when an attempt is overdue. The
	// tail latency of typical requests stays below them.
	overdueFactor = 3
	overdueFloor  = 4 * time.Millisecond
)

// remotePenalty returns what is added to the score of instances outside this VM's zone,
// in multiples of the typical latency. It is at least jitter, so that an instance of the
// zone is chosen among equal ones.
func remotePenalty(typicalLatency time.Duration) float64 {
	if typicalLatency <= 0 {
		return maxRemotePenalty
	}
	return max(min(zoneWait.Seconds()/typicalLatency.Seconds(), maxRemotePenalty), jitter)
}

// score returns the expected latency in multiples of the typical latency, plus
// penalties. Lower is better.
func (inst *Instance) score(now time.Time, zone string, remotePenalty, random, scarcity float64, pace paceState) float64 {
	inst.decay(now)
	slots := float64(max(inst.Announcement.Slots, 1))
	busy := float64(len(inst.inFlight)) / slots
	if now.Sub(inst.loadReportedAt) < loadMaxAge {
		busy = max(busy, inst.reportedLoad)
	}
	s := inst.slowness*inst.slowdown.at(now)*(1+busy) + inst.penalty + inst.rejectPenaltySum*scarcity + random*jitter
	switch pace {
	case admittable: // the pace takes the place of what was observed
		s = 1 + busy + random*jitter
	case heldBack:
		s += heldBackPenalty
	}
	if inst.Announcement.Zone != zone {
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
