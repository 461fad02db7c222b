package admission

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Outcome tells what a query says about the load of its upstreams.
type Outcome uint8

// The outcomes of a query.
const (
	// OutcomeDone is a query that upstreams answered, or failed for a reason of
	// its own.
	OutcomeDone Outcome = iota
	// OutcomeOverloaded is a query that failed because upstreams shed it or had
	// no slot for it. A query that was answered in spite of a shed is done.
	OutcomeOverloaded
	// OutcomeDeadlineExceeded is a query that its deadline ended.
	OutcomeDeadlineExceeded
	// OutcomeCanceled is a query that its caller gave up. It says nothing.
	OutcomeCanceled
)

// OutcomeOf returns the outcome of a query that ended with the refusal, or was
// answered if it is nil.
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
	// decreaseFactor scales the limit down on a sign of overload.
	decreaseFactor = 0.85
	// latencyTolerance is the ratio of recent to unloaded duration above which
	// upstreams are taken to queue.
	latencyTolerance = 2.0
	// recentWeight and baseShare are the weights of one sample in the recent
	// duration and in the slow rise of the unloaded one.
	recentWeight = 0.05
	baseWeight   = 0.0005
	// increaseRounds is the number of rounds of queries after which the limit
	// grows by one.
	increaseRounds = 10
)

// LimitConfig bounds the queries that run at a time.
type LimitConfig struct {
	// Initial is the limit of a daemon that knows nothing yet, from the slots of
	// the upstreams and the daemons that share them.
	Initial int
	// Min and Max bound what the limit adapts to.
	Min, Max int
}

// limiter adapts the number of running queries to what the upstreams bear:
// additive increase while the limit is reached, multiplicative decrease when
// upstreams shed, deadlines pass or durations grow (AIMD after Chiu and Jain,
// with a latency gradient as in TCP Vegas). Until the first sign of overload it
// grows by one with each query, as in TCP's slow start. It decreases by a factor
// at most once per duration of a query, since the queries that run together see
// the same overload; but a shed always lowers it to the queries that still run.
type limiter struct {
	config         LimitConfig
	limit          float64
	recentDuration float64 // seconds
	baseDuration   float64 // seconds; what queries take on unloaded upstreams
	nextDecreaseAt time.Time
	seenOverload   bool // since the start
}

func newLimiter(c LimitConfig) limiter {
	c.Min = max(c.Min, 1)
	c.Max = max(c.Max, c.Min)
	return limiter{config: c, limit: float64(min(max(c.Initial, c.Min), c.Max))}
}

func (l *limiter) current() int { return int(l.limit) }

// serviceTime returns the recent duration of a query. Zero: unknown.
func (l *limiter) serviceTime() time.Duration {
	return time.Duration(l.recentDuration * float64(time.Second))
}

// recordEnd takes the end of a query. running counts the others that still run.
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

// adapt follows the durations. full tells whether the limit was reached.
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
