package admission

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Outcome classifies the end of a query by what it indicates about the load of
// the upstreams.
type Outcome uint8

// The outcomes of a query.
const (
	// OutcomeDone is a query that was answered or that failed for a reason
	// other than load.
	OutcomeDone Outcome = iota
	// OutcomeOverloaded is a query that failed because upstreams shed it or had
	// no slot for it. A query that was answered despite a shed is OutcomeDone.
	OutcomeOverloaded
	// OutcomeDeadlineExceeded is a query that exceeded its deadline.
	OutcomeDeadlineExceeded
	// OutcomeCanceled is a query that was canceled by its caller or that ended
	// because the daemon isn't ready. It indicates nothing about the load.
	OutcomeCanceled
)

// OutcomeOf returns the outcome of a query that ended with the refusal, or of
// an answered one if it is nil.
func OutcomeOf(r *verdict.Refusal) Outcome {
	if r == nil {
		return OutcomeDone
	}
	switch r.Code {
	case verdict.CodeOverloaded:
		return OutcomeOverloaded
	case verdict.CodeDeadline:
		return OutcomeDeadlineExceeded
	case verdict.CodeNotReady:
		return OutcomeCanceled
	}
	return OutcomeDone
}

const (
	// decreaseFactor scales the limit on a sign of overload.
	decreaseFactor = 0.85
	// latencyTolerance is the ratio of recent to unloaded duration above which
	// requests are assumed to queue at upstreams.
	latencyTolerance = 2.0
	// recentWeight is the weight of one sample in the recent duration.
	// baseWeight is the weight of the recent duration in the unloaded duration
	// while the latter rises.
	recentWeight = 0.05
	baseWeight   = 0.0005
	// increaseRounds is the number of rounds of queries in which the limit
	// grows by one, a round being as many queries as the limit.
	increaseRounds = 10
)

// LimitConfig sets the range of the concurrency limit.
type LimitConfig struct {
	// Initial is the limit before any measurement, derived from the slots of
	// the upstreams and the number of daemons that share them.
	Initial int
	// Min and Max bound the adaptive limit.
	Min, Max int
}

// limiter adapts the number of concurrent queries to the capacity of the
// upstreams: additive increase while the limit is reached, multiplicative
// decrease when upstreams shed, deadlines pass or durations grow (AIMD after
// Chiu and Jain, with a latency gradient as in TCP Vegas). Until the first sign
// of overload, the limit grows by one with each query, as in TCP slow start.
// The multiplicative decrease happens at most once per duration of a query,
// because concurrent queries observe the same overload. A shed, however, always
// lowers the limit to the number of queries that are still running, but not
// below the minimum.
type limiter struct {
	config         LimitConfig
	limit          float64
	recentDuration float64 // seconds
	baseDuration   float64 // seconds; duration of a query on unloaded upstreams
	nextDecreaseAt time.Time
	seenOverload   bool // since the start
}

func newLimiter(c LimitConfig) limiter {
	c.Min = max(c.Min, 1)
	c.Max = max(c.Max, c.Min)
	return limiter{config: c, limit: float64(min(max(c.Initial, c.Min), c.Max))}
}

func (l *limiter) current() int { return int(l.limit) }

// serviceTime returns the moving average of the duration of a query. Zero means
// unknown.
func (l *limiter) serviceTime() time.Duration {
	return time.Duration(l.recentDuration * float64(time.Second))
}

// recordEnd records the end of a query. running is the number of other queries
// that are still running.
func (l *limiter) recordEnd(now time.Time, d time.Duration, o Outcome, running int) {
	switch o {
	case OutcomeOverloaded:
		l.decrease(now)
		l.limit = max(min(l.limit, float64(running)), float64(l.config.Min))
	case OutcomeDeadlineExceeded:
		l.decrease(now)
	case OutcomeDone:
		l.observe(d.Seconds())
		l.adapt(now, running+1 >= l.current())
	case OutcomeCanceled:
	}
}

// adapt adjusts the limit to the durations. full reports whether the limit was
// reached.
func (l *limiter) adapt(now time.Time, full bool) {
	if l.recentDuration > latencyTolerance*l.baseDuration {
		l.decrease(now)
		return
	}
	if !full {
		return
	}
	step := 1.0
	if l.seenOverload {
		step = 1 / (increaseRounds * l.limit)
	}
	l.limit = min(l.limit+step, float64(l.config.Max))
}

func (l *limiter) observe(d float64) {
	if l.recentDuration == 0 {
		l.recentDuration, l.baseDuration = d, d
		return
	}
	l.recentDuration += (d - l.recentDuration) * recentWeight
	if l.recentDuration < l.baseDuration {
		l.baseDuration = l.recentDuration
		return
	}
	l.baseDuration += (l.recentDuration - l.baseDuration) * baseWeight
}

func (l *limiter) decrease(now time.Time) {
	l.seenOverload = true
	if now.Before(l.nextDecreaseAt) {
		return
	}
	l.limit = max(l.limit*decreaseFactor, float64(l.config.Min))
	l.nextDecreaseAt = now.Add(l.serviceTime())
}
