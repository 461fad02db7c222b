package routing

import "time"

// health detects the failure of an upstream from what its requests came to.
type health struct {
	suspected bool
	// failures counts errors without an answer in between.
	failures int
	// lateCancels counts attempts that were given up late without an answer in
	// between.
	lateCancels int
	// trialBackoff is the present interval between probes.
	trialBackoff time.Duration
	// suspectedAt is when the suspicion began.
	suspectedAt time.Time
	// lastAnswer is when the upstream last answered.
	lastAnswer time.Time
}

const (
	// failureLimit is the number of error answers that make a suspicion.
	failureLimit = 3
	// lateCancelLimit is the number of attempts given up late that make one.
	lateCancelLimit = 4
	// lateCancelNumerator over lateCancelDenominator times the average latency is the
	// time from which a given-up attempt counts as late.
	lateCancelNumerator, lateCancelDenominator = 3, 2
	// minTrialBackoff and lastProbe bound the interval between probes.
	minTrialBackoff = 500 * time.Millisecond
	maxTrialBackoff = 2 * time.Second
	// suspectedColdAfter is the time of suspicion after which an upstream that
	// answers again counts as cold.
	suspectedColdAfter = time.Second
)

// suspect begins a suspicion or, in one, doubles the interval between probes.
func (h *health) suspect(now time.Time) {
	if !h.suspected {
		h.suspected = true
		h.suspectedAt = now
		h.trialBackoff = minTrialBackoff
		return
	}
	h.trialBackoff = min(2*h.trialBackoff, maxTrialBackoff)
}

// recordAnswer ends a suspicion and reports whether there was one.
func (h *health) recordAnswer(now time.Time) bool {
	wasSuspected := h.suspected
	h.suspected = false
	h.failures = 0
	h.lateCancels = 0
	h.lastAnswer = now
	return wasSuspected
}
