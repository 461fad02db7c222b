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
	// good counts the good answers of the present stage.
	good int
	// best is the lowest latency seen since coldSince.
	best time.Duration
	// slow counts consecutive answers far slower than those of other replicas.
	slow int
	// evidence is the begin of the latest request with a good answer, of this VM
	// or of the peer that it heard of.
	evidence time.Time
	// trialEvery is the time between trials, if longer than warmupInterval.
	trialEvery time.Duration
	// askAt is when the peers are asked next, and askAfter the interval.
	askAt    time.Time
	askAfter time.Duration
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
	// firstAsk and lastAsk bound the interval between two questions to the
	// peers.
	firstAsk = 25 * time.Millisecond
	lastAsk  = 10 * time.Second
	// wantedAsk is the longest interval while requests are refused.
	wantedAsk = 100 * time.Millisecond
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
	r.good = 0
	r.best = 0
	r.slow = 0
	r.instanceSeen = false
	r.trialEvery = 0
	r.askAfter = firstAsk
	r.askAt = now.Add(firstAsk)
}

// scheduleAsk sets the time of the next question to the peers.
func (r *ramp) scheduleAsk(now time.Time, wanted bool) {
	r.askAfter = min(2*r.askAfter, lastAsk)
	if wanted {
		r.askAfter = min(r.askAfter, wantedAsk)
	}
	r.askAt = now.Add(r.askAfter)
}

// isAskDue tells whether the peers are to be asked now. A refused request doesn't
// wait for a question that was put off while nobody wanted a permit.
func (r *ramp) isAskDue(now time.Time, wanted bool) bool {
	askedAt := r.askAt.Add(-r.askAfter)
	return !now.Before(r.askAt) || wanted && now.Sub(askedAt) >= wantedAsk
}

// learnInstance remembers the upstream's incarnation.
func (r *ramp) learnInstance(instance string) {
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
	r.good = 0
}

// answeredCold takes in an answer while cold and reports whether the stage is
// complete.
func (r *ramp) answeredCold(now time.Time, latency, usual time.Duration, cfg *Config) bool {
	r.trialEvery = 0
	if now.Add(-latency).Before(r.coldSince) {
		return false
	}
	if r.best == 0 || latency < r.best {
		r.best = latency
	}
	if usual == 0 {
		usual = r.best
	}
	if latency > goodFactor*usual+goodNoise {
		r.good = 0
		return false
	}
	r.good++
	r.evidence = now.Add(-latency)
	return r.good >= cfg.AnswersPerStage && now.Sub(r.stageSince) >= cfg.MinStageDuration
}

// answeredWarm takes in an answer while warm and reports whether the upstream
// must count as cold.
func (r *ramp) answeredWarm(now time.Time, latency, usual time.Duration) bool {
	if usual == 0 || latency <= coldFactor*usual+slowNoise {
		r.slow = 0
		r.evidence = now.Add(-latency)
		return false
	}
	r.slow++
	return r.slow >= slowLimit
}
