package leaf

import "time"

// checkInterval is how often a request looks whether its connection is closed.
const checkInterval = 5 * time.Millisecond

// waiter is a request in the queue. granted is closed under the leaf's lock
// when it gets a slot; work is set before.
type waiter struct {
	granted chan struct{}
	work    time.Duration
}

// decision is what becomes of a request at its receipt.
type decision struct {
	outcome Outcome
	waiter  *waiter
	work    time.Duration
}

// admit gives a slot, a place in the queue, or neither. The leaf's lock is held.
func (inc *incarnation) admit(now time.Time) decision {
	p := &inc.leaf.policy
	switch {
	case inc.draining:
		inc.leaf.counters.ReceivedDraining++
		return decision{outcome: OutcomeDraining}
	case inc.running < p.Slots:
		return decision{outcome: OutcomeRunning, work: inc.startRequest(now)}
	case len(inc.queue) < p.Queue:
		w := &waiter{granted: make(chan struct{})}
		inc.queue = append(inc.queue, w)
		return decision{outcome: OutcomeQueued, waiter: w}
	}
	inc.leaf.counters.Shed++
	return decision{outcome: OutcomeShed}
}

// startRequest counts a running request and returns how long it takes. The leaf's
// lock is held.
func (inc *incarnation) startRequest(now time.Time) time.Duration {
	l := inc.leaf
	inc.running++
	l.counters.Started++
	l.counters.MaxRunning = max(l.counters.MaxRunning, inc.running)
	if inc.isCold(now) {
		inc.countColdRequest(now)
	}
	return inc.drawWorkTime(now)
}

// finishRequest frees a slot and gives it to the first in the queue. The leaf's lock
// is held.
func (inc *incarnation) finishRequest(now time.Time) {
	inc.running--
	if len(inc.queue) == 0 || inc.running >= inc.leaf.policy.Slots {
		return
	}
	w := inc.queue[0]
	inc.queue = inc.queue[1:]
	w.work = inc.startRequest(now)
	close(w.granted)
}

// leaveQueue takes a waiter out of the queue. It returns false when the waiter
// has a slot already. The leaf's lock is held.
func (inc *incarnation) leaveQueue(w *waiter) bool {
	for i, other := range inc.queue {
		if other == w {
			inc.queue = append(inc.queue[:i:i], inc.queue[i+1:]...)
			return true
		}
	}
	return false
}

// startWarmUp starts or restarts the warm-up. The leaf's lock is held.
func (inc *incarnation) startWarmUp(now time.Time) {
	p := &inc.leaf.policy
	inc.cold = true
	inc.coldUntil = now.Add(milliseconds(p.ColdMS))
	inc.coldRequests = p.ColdRequests
}

// isCold also ends a warm-up that is complete. The leaf's lock is held.
func (inc *incarnation) isCold(now time.Time) bool {
	if inc.cold && inc.coldRequests <= 0 && !now.Before(inc.coldUntil) {
		inc.cold = false
	}
	return inc.cold
}

// countColdRequest counts a start in the cold phase. The leaf's lock is held.
func (inc *incarnation) countColdRequest(now time.Time) {
	l := inc.leaf
	l.counters.MaxRunningCold = max(l.counters.MaxRunningCold, inc.running)
	if inc.running <= max(l.policy.ColdPermits, 1) {
		inc.coldRequests--
		return
	}
	l.counters.Overruns++
	inc.collapsedUntil = now.Add(milliseconds(l.policy.CollapseMS))
	inc.startWarmUp(now)
}

// drawWorkTime draws the time of one request. The leaf's lock is held.
func (inc *incarnation) drawWorkTime(now time.Time) time.Duration {
	l := inc.leaf
	p := &l.policy
	ms := p.ServiceMS
	if p.JitterMS > 0 {
		ms += p.JitterMS * l.rng.ExpFloat64()
	}
	if p.StragglerFraction > 0 && l.rng.Float64() < p.StragglerFraction {
		ms *= p.StragglerFactor
	}
	if now.Before(inc.collapsedUntil) {
		ms *= p.CollapseFactor
	}
	return milliseconds(ms)
}
