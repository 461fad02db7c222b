package routing

import "time"

// health detects the failure of an upstream from what its requests came to.
type health struct {
	suspected bool
	// failures counts errors without an answer in between.
	failures int
	// silent counts attempts that were given up late without an answer in
	// between.
	silent int
	// backoff is the present interval between probes.
	backoff time.Duration
	// suspectedAt is when the suspicion began.
	suspectedAt time.Time
	// lastAnswer is when the upstream last answered.
	lastAnswer time.Time
}

const (
	// failureLimit is the number of error answers that make a suspicion.
	failureLimit = 3
	// silentLimit is the number of attempts given up late that make one.
	silentLimit = 4
	// silentNumerator over silentDenominator times the average latency is the
	// time from which a given-up attempt counts as late.
	silentNumerator, silentDenominator = 3, 2
	// firstProbe and lastProbe bound the interval between probes.
	firstProbe = 500 * time.Millisecond
	lastProbe  = 2 * time.Second
	// suspectedColdAfter is the time of suspicion after which an upstream that
	// answers again counts as cold.
	suspectedColdAfter = time.Second
)

// suspect begins a suspicion or, in one, doubles the interval between probes.
func (h *health) suspect(now time.Time) {
	if !h.suspected {
		h.suspected = true
		h.suspectedAt = now
		h.backoff = firstProbe
		return
	}
	h.backoff = min(2*h.backoff, lastProbe)
}

// answered ends a suspicion and reports whether there was one.
func (h *health) answered(now time.Time) bool {
	was := h.suspected
	h.suspected = false
	h.failures = 0
	h.silent = 0
	h.lastAnswer = now
	return was
}
