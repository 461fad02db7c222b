package routing

import "time"

// ramp leads an upstream from cold to warm. At stage s all VMs together may run
// coldPermits * 2^s requests, until that reaches the slots and the upstream
// counts as warm.
type ramp struct {
	warm  bool
	stage int
	// instance is the last known incarnation of the upstream.
	instance string
	// instanceSeen tells whether instance was learned since coldSince.
	instanceSeen bool
	// coldSince is when the upstream last turned cold. Attempts that began
	// earlier are no evidence.
	coldSince time.Time
	// stageSince is when the present stage began.
	stageSince time.Time
	// goodAnswers counts the good answers of the present stage.
	goodAnswers int
	// bestLatency is the lowest latency seen since coldSince.
	bestLatency time.Duration
	// slowAnswers counts consecutive answers far slower than those of other replicas.
	slowAnswers int
	// evidenceAt is the begin of the latest request with a good answer, of this VM
	// or of the peer that it heard of.
	evidenceAt time.Time
	// trialInterval is the time between trials, if longer than warmupInterval.
	trialInterval time.Duration
	// nextQueryAt is when the peers are asked next, and askAfter the interval.
	nextQueryAt   time.Time
	queryInterval time.Duration
}

const (
	// goodFactor times the usual latency is the slowest good answer in a ramp.
	goodFactor = 2
	// coldFactor times the usual latency is an answer that hints at a cold
	// upstream.
	coldFactor = 8
	// slowNoise and goodNoise are added to the limits above: delays of the network
	// and of this process, which say nothing about the upstream.
	slowNoise = 2 * time.Millisecond
	goodNoise = time.Millisecond
	// slowLimit is the number of such answers in a row that count as cold.
	slowLimit = 3
	// minQueryInterval and lastAsk bound the interval between two questions to the
	// peers.
	minQueryInterval = 25 * time.Millisecond
	maxQueryInterval = 10 * time.Second
	// demandQueryInterval is the longest interval while requests are refused.
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

// scheduleQuery sets the time of the next question to the peers.
func (r *ramp) scheduleQuery(now time.Time, hasDemand bool) {
	r.queryInterval = min(2*r.queryInterval, maxQueryInterval)
	if hasDemand {
		r.queryInterval = min(r.queryInterval, demandQueryInterval)
	}
	r.nextQueryAt = now.Add(r.queryInterval)
}

// isQueryDue tells whether the peers are to be asked now. A refused request doesn't
// wait for a question that was put off while nobody wanted a permit.
func (r *ramp) isQueryDue(now time.Time, hasDemand bool) bool {
	lastQueryAt := r.nextQueryAt.Add(-r.queryInterval)
	return !now.Before(r.nextQueryAt) || hasDemand && now.Sub(lastQueryAt) >= demandQueryInterval
}

// recordInstance remembers the upstream's incarnation.
func (r *ramp) recordInstance(instance string) {
	if instance == "" {
		return
	}
	r.instance = instance
	r.instanceSeen = true
}

// advance goes to a later stage.
func (r *ramp) advance(now time.Time, stage, last int) {
	r.stage = min(stage, last)
	r.warm = stage > last
	r.stageSince = now
	r.goodAnswers = 0
}

// recordColdAnswer takes in an answer while cold and reports whether the stage is
// complete.
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

// recordWarmAnswer takes in an answer while warm and reports whether the upstream
// must count as cold.
func (r *ramp) recordWarmAnswer(now time.Time, latency, reference time.Duration) bool {
	if reference == 0 || latency <= coldFactor*reference+slowNoise {
		r.slowAnswers = 0
		r.evidenceAt = now.Add(-latency)
		return false
	}
	r.slowAnswers++
	return r.slowAnswers >= slowLimit
}
