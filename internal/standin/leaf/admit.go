package leaf

import "time"

// checkInterval is the interval at which a request checks its deadline and its
// connection.
const checkInterval = 5 * time.Millisecond

// waiter is a request in the queue. granted is closed under the leaf's lock
// when it gets a slot; work is set before.
type waiter struct {
	granted chan struct{}
	work    time.Duration
}

// decision is how a request is handled at its receipt.
type decision struct {
	outcome Outcome
	waiter  *waiter
	work    time.Duration
}

// admit assigns a slot or a place in the queue, or rejects the request. The
// leaf's lock is held.
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

// startRequest counts a running request and returns the duration of its work. The
// leaf's lock is held.
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

// finishRequest releases a slot and assigns it to the first request in the queue.
// The leaf's lock is held.
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

// leaveQueue removes a waiter from the queue. It returns false if the waiter
// already has a slot. The leaf's lock is held.
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

// isCold reports whether the leaf is cold. It ends a warm-up that is complete.
// The leaf's lock is held.
func (inc *incarnation) isCold(now time.Time) bool {
	if inc.cold && inc.coldRequests <= 0 && !now.Before(inc.coldUntil) {
		inc.cold = false
	}
	return inc.cold
}

// countColdRequest counts a request that starts during the warm-up and detects an
// overrun. The leaf's lock is held.
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

// drawWorkTime draws the duration of one request's work at random. The leaf's
// lock is held.
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
