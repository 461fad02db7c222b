package routing

import "time"

// ramp tracks the warm-up of an upstream from cold to warm. At stage s all VMs
// together may run coldPermits * 2^s requests, until that reaches the slots and
// the upstream counts as warm.
type ramp struct {
	warm  bool
	stage int
	// instance is the last known instance ID of the upstream.
	instance string
	// instanceSeen reports whether instance was observed since coldSince.
	instanceSeen bool
	// coldSince is the time when the upstream last turned cold. Attempts that
	// started earlier are no evidence.
	coldSince time.Time
	// stageSince is the start of the present stage.
	stageSince time.Time
	// goodAnswers counts the good answers of the present stage.
	goodAnswers int
	// bestLatency is the lowest latency seen since coldSince.
	bestLatency time.Duration
	// slowAnswers counts consecutive answers that were much slower than those
	// of other replicas.
	slowAnswers int
	// evidenceAt is the start of the latest request with a good answer, made by
	// this VM or by the peer whose notice was applied.
	evidenceAt time.Time
	// trialInterval is the time between trials, if longer than
	// coldTrialInterval.
	trialInterval time.Duration
	// nextQueryAt is the time of the next ramp query to peers, and
	// queryInterval the time since the previous one.
	nextQueryAt   time.Time
	queryInterval time.Duration
}

const (
	// goodFactor times the reference latency is the upper limit of a good answer
	// on a ramp. The reference latency is the service's average or, if that is
	// unknown, the lowest latency on this ramp.
	goodFactor = 2
	// coldFactor times the service's average latency is the latency above which
	// an answer hints at a cold upstream.
	coldFactor = 8
	// slowNoise and goodNoise are added to the limits above. They allow for
	// delays of the network and of this process, which aren't the upstream's.
	slowNoise = 2 * time.Millisecond
	goodNoise = time.Millisecond
	// slowLimit is the number of consecutive slow answers after which an
	// upstream counts as cold.
	slowLimit = 3
	// minQueryInterval and maxQueryInterval bound the interval between two ramp
	// queries about an upstream.
	minQueryInterval = 25 * time.Millisecond
	maxQueryInterval = 10 * time.Second
	// demandQueryInterval is the maximum interval while requests are being
	// refused.
	demandQueryInterval = 100 * time.Millisecond
)

func (r *ramp) isFirstStage() bool {
	return !r.warm && r.stage == 0
}

// turnCold returns to the first stage.
func (r *ramp) turnCold(now time.Time) {
	r.warm = false
	r.stage = 0
	r.coldSince = now
	r.stageSince = now
	r.goodAnswers = 0
	r.bestLatency = 0
	r.slowAnswers = 0
	r.instanceSeen = false
	r.trialInterval = 0
	r.queryInterval = minQueryInterval
	r.nextQueryAt = now.Add(minQueryInterval)
}

// scheduleQuery sets the time of the next ramp query to peers, with exponential
// back-off.
func (r *ramp) scheduleQuery(now time.Time, hasDemand bool) {
	r.queryInterval = min(2*r.queryInterval, maxQueryInterval)
	if hasDemand {
		r.queryInterval = min(r.queryInterval, demandQueryInterval)
	}
	r.nextQueryAt = now.Add(r.queryInterval)
}

// isQueryDue reports whether the peers must be queried now. With demand for a
// permit, a query that was backed off without demand is due after
// demandQueryInterval.
func (r *ramp) isQueryDue(now time.Time, hasDemand bool) bool {
	lastQueryAt := r.nextQueryAt.Add(-r.queryInterval)
	return !now.Before(r.nextQueryAt) || hasDemand && now.Sub(lastQueryAt) >= demandQueryInterval
}

// recordInstance records the upstream's instance ID.
func (r *ramp) recordInstance(instance string) {
	if instance == "" {
		return
	}
	r.instance = instance
	r.instanceSeen = true
}

// advance moves to another stage. A stage after the last one means warm.
func (r *ramp) advance(now time.Time, stage, last int) {
	r.stage = min(stage, last)
	r.warm = stage > last
	r.stageSince = now
	r.goodAnswers = 0
}

// recordColdAnswer records an answer on the ramp and reports whether the stage
// is complete.
func (r *ramp) recordColdAnswer(now time.Time, latency, reference time.Duration, cfg *Config) bool {
	r.trialInterval = 0
	if now.Add(-latency).Before(r.coldSince) {
		return false
	}
	if r.bestLatency == 0 || latency < r.bestLatency {
		r.bestLatency = latency
	}
	if reference == 0 {
		reference = r.bestLatency
	}
	if latency > goodFactor*reference+goodNoise {
		r.goodAnswers = 0
		return false
	}
	r.goodAnswers++
	r.evidenceAt = now.Add(-latency)
	return r.goodAnswers >= cfg.AnswersPerStage && now.Sub(r.stageSince) >= cfg.MinStageDuration
}

// recordWarmAnswer records an answer of a warm upstream and reports whether the
// upstream must be treated as cold.
func (r *ramp) recordWarmAnswer(now time.Time, latency, reference time.Duration) bool {
	if reference == 0 || latency <= coldFactor*reference+slowNoise {
		r.slowAnswers = 0
		r.evidenceAt = now.Add(-latency)
		return false
	}
	r.slowAnswers++
	return r.slowAnswers >= slowLimit
}
