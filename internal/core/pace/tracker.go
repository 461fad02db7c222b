// Package pace finds how many requests an instance of an upstream bears after it has
// started or recovered. It is used by `ryecourse gateway`.
//
// A return is the time from an instance's start, or from the harm that it did, until it
// gets its usual requests again. It begins when the instance starts, announces that it is
// cold, loses requests, or was slow or rejected requests for a while. Each level of a
// return doubles the fraction of the requests that the instance gets of those that choose
// it. Good answers raise the level, harm lowers it. VMs report the stages that they found
// to each other.
//
// The package has no I/O; callers pass the time.
package pace

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a pace changed.
type Reason string

// The reasons of changes.
const (
	Started  Reason = "started"
	Lost     Reason = "requests_lost"
	Slow     Reason = "slow_answers"
	Rejected Reason = "requests_rejected"
	Good     Reason = "good_answers"
	ByPeer   Reason = "peer_report"
	Idle     Reason = "no_requests"
)

// Change is a change of an instance's stage on this VM.
type Change struct {
	Instance string
	Stage    Stage
	// Fraction is the fraction of the requests choosing the instance that it gets.
	// PerSecond is the rate of its good answers to this VM at the previous stage.
	Fraction, PerSecond float64
	Reason              Reason
	// Peer is the VM that reported the stage, or empty.
	Peer string
}

// Totals holds the number of returning instances, and counts since the start.
type Totals struct {
	Returning                        int
	Begun, Raised, Lowered, Finished uint64
	// Admitted and HeldBack count the requests that chose a returning instance.
	Admitted, HeldBack uint64
}

// Tracker is one VM's knowledge of returning instances. It is safe for concurrent use.
type Tracker struct {
	policy   Policy
	started  time.Time
	onChange func(Change)
	vms      atomic.Int64

	mu      sync.Mutex
	rand    *rand.Rand
	entries map[string]*entry // by instance ID
	totals  Totals
	// count is len(entries), for callers without mu: most of the time there are none.
	count     atomic.Int64
	returning int // entries that are returning
	version   atomic.Uint64
}

// NewTracker returns a tracker of a VM that starts now. onChange is called with each
// change; it must not block or call the tracker.
func NewTracker(p Policy, r *rand.Rand, now time.Time, onChange func(Change)) *Tracker {
	t := &Tracker{policy: p, rand: r, started: now, onChange: onChange, entries: map[string]*entry{}}
	t.vms.Store(1)
	return t
}

// SetVMs sets the number of VMs in the fleet.
func (t *Tracker) SetVMs(n int) { t.vms.Store(int64(max(n, 1))) }

// Begin begins the return of an instance that has started or announced that it is cold.
func (t *Tracker) Begin(now time.Time, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, instance)
	if e.returning {
		if e.stage.Level < t.policy.StartLevel {
			t.enter(now, e, Stage{e.stage.Generation, t.policy.StartLevel, e.stage.Ceiling}, Started)
		}
		return
	}
	t.begin(now, e, t.policy.StartLevel, Started)
}

// Version changes with the results of Returning.
func (t *Tracker) Version() uint64 { return t.version.Load() }

// Returning reports whether an instance is returning, and whether it is known to answer.
func (t *Tracker) Returning(instance string) (returning, answers bool) {
	if t.count.Load() == 0 {
		return false, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[instance]
	if e == nil || !e.returning {
		return false, true
	}
	return true, e.answers
}

// Admit reports whether a returning instance gets a request that chooses it. spacing is
// the time since this VM's previous request to the service.
func (t *Tracker) Admit(now time.Time, instance string, spacing time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[instance]
	if e == nil || !e.returning {
		return true
	}
	part := e.stage.perSecond(&t.policy) / float64(t.vms.Load())
	spacing = min(max(spacing, 0), t.policy.MaxSpacing)
	e.credit += min(e.stage.fraction()+part*spacing.Seconds(), 1)
	e.usedAt = now
	if e.credit < 1 {
		t.totals.HeldBack++
		return false
	}
	e.credit--
	t.totals.Admitted++
	return true
}

// Answered records an answer to a request sent at sentAt. ratio is its latency in multiples
// of the typical latency and of the latency of the instance's peers; 0 if unknown. crowded
// is set if the instance has a queue while a peer has free slots.
func (t *Tracker) Answered(now, sentAt time.Time, instance string, ratio float64, crowded bool) {
	slow := ratio >= t.policy.SlowRatio
	if !slow && t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if slow {
		t.bad(now, sentAt, t.entry(now, instance), Slow)
		return
	}
	e := t.entries[instance]
	switch {
	case e == nil:
	case e.returning && crowded:
		t.bad(now, sentAt, e, Slow)
	default:
		t.good(now, sentAt, e, ratio < t.policy.GoodRatio)
	}
}

// Unanswered records a request that was canceled before its answer, after the time that
// ratio is, as in Answered.
func (t *Tracker) Unanswered(now, sentAt time.Time, instance string, ratio float64) {
	if ratio >= t.policy.SlowRatio {
		t.harm(now, sentAt, instance, Slow)
	}
}

// Lost records a request sent at sentAt that an instance didn't answer, or with an error.
func (t *Tracker) Lost(now, sentAt time.Time, instance string) { t.harm(now, sentAt, instance, Lost) }

// Rejected records a request sent at sentAt that an instance rejected.
func (t *Tracker) Rejected(now, sentAt time.Time, instance string) {
	t.harm(now, sentAt, instance, Rejected)
}

func (t *Tracker) harm(now, sentAt time.Time, instance string, r Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bad(now, sentAt, t.entry(now, instance), r)
}

// Retain drops the instances that don't exist any more.
func (t *Tracker) Retain(instances map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if !instances[id] {
			t.drop(e)
		}
	}
}

// Totals returns the numbers for metrics.
func (t *Tracker) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.totals
	out.Returning = t.returning
	return out
}
