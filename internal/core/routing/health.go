package routing

import "time"

// health detects the failure of an upstream from the outcomes of its requests.
type health struct {
	suspected bool
	// failures counts errors since the last answer.
	failures int
	// lateCancels counts the attempts since the last answer that were canceled
	// after they had become late.
	lateCancels int
	// trialBackoff is the present interval between trials.
	trialBackoff time.Duration
	// suspectedAt is the start of the suspicion.
	suspectedAt time.Time
	// lastAnswer is the time of the upstream's last answer.
	lastAnswer time.Time
}

const (
	// failureLimit is the number of error answers after which an upstream is
	// suspected.
	failureLimit = 3
	// lateCancelLimit is the number of late cancellations after which it is
	// suspected.
	lateCancelLimit = 4
	// lateCancelNumerator/lateCancelDenominator times the average latency is
	// the time after which a canceled attempt counts as late.
	lateCancelNumerator, lateCancelDenominator = 3, 2
	// minTrialBackoff and maxTrialBackoff bound the interval between trials.
	minTrialBackoff = 500 * time.Millisecond
	maxTrialBackoff = 2 * time.Second
	// suspectedColdAfter is the duration of a suspicion after which an upstream
	// that answers again counts as cold.
	suspectedColdAfter = time.Second
)

// suspect starts a suspicion. If there is one already, it doubles the interval
// between trials.
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
