// Package fanout schedules the attempts of one request: the first attempt at
// each of its shards, retries and hedges. It also decides when the received
// answers suffice. `ryecourse gateway` uses it.
//
// A request to a single service is a request to one shard. The package has no
// I/O: its owner passes events in and implements Sender.
package fanout

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Kind is the reason of an attempt.
type Kind uint8

// The kinds of attempts.
const (
	First Kind = iota
	Retry
	// Hedge duplicates a slow attempt of a shard whose answer the request can
	// succeed without.
	Hedge
	// UrgentHedge duplicates a slow attempt of a shard without which the
	// request fails or is late.
	UrgentHedge
)

// String returns the name used in logs.
func (k Kind) String() string {
	return [...]string{"first", "retry", "hedge", "urgent_hedge"}[k]
}

// SendResult reports whether an attempt was started.
type SendResult uint8

// The results of Sender.Send.
const (
	// Started means that the attempt is running and that a result will follow.
	Started SendResult = iota
	// NoUpstream means that no upstream can take the attempt now.
	NoUpstream
	// NoBudget means that the retry budget is exhausted.
	NoBudget
	// AtLimit means that the upstreams' own limits don't admit the attempt.
	AtLimit
	// Elsewhere means that another VM runs the request instead.
	Elsewhere
)

// Sender starts attempts.
type Sender interface {
	Send(shard int, kind Kind) SendResult
}

// Policy holds the fixed limits of a request.
type Policy struct {
	Shards int
	// MinShare is the least fraction of shards, 0 to 1, that must answer for a
	// success.
	MinShare float64
	// MaxRuns is the number of upstreams that may run the request, per shard.
	MaxRuns    int
	Idempotent bool
	// HedgeDelay is the wait before a second attempt; 0 disables hedging.
	HedgeDelay time.Duration
	// SoftDeadline is when a partial answer that reaches MinShare is returned.
	SoftDeadline time.Time
	// UpstreamWaitDeadline is how long a shard may wait for an available
	// upstream.
	UpstreamWaitDeadline time.Time
	// Deadline is when a request without a success times out.
	Deadline time.Time
}

// upstreamPollInterval is the time between two tries to find an available
// upstream.
const upstreamPollInterval = 10 * time.Millisecond

type shardState uint8

const (
	stateOpen shardState = iota
	stateAnswered
	stateFailed
)

type shard struct {
	state     shardState
	inFlight  int
	runs      int // attempts that may have run
	sends     int
	hedgeAt   time.Time // zero: no hedge is due
	retryAt   time.Time // zero: no retry is scheduled
	retryKind Kind      // kind of the scheduled retry
}

// Query is the state of one request. It isn't safe for concurrent use.
type Query struct {
	policy   Policy
	sender   Sender
	shards   []shard
	answered int
	failed   int
	verdict  verdict.Verdict
	outcome  Outcome
	// elsewhere is set while another VM runs the request. Shards without an attempt in
	// flight don't fail meanwhile.
	elsewhere bool
}

// Outcome is the state of the request as a whole.
type Outcome uint8

// The outcomes of a request.
const (
	Running Outcome = iota
	// Success means that enough shards have answered, though possibly not all.
	Success
	// Unanswerable means that too many shards have failed for a success.
	Unanswerable
	// TimedOut means that the deadline has passed, or that End was called.
	TimedOut
)

// New returns a request whose attempts begin with Start.
func New(p Policy, s Sender) *Query {
	return &Query{policy: p, sender: s, shards: make([]shard, p.Shards)}
}

// Outcome returns whether and how the request has ended.
func (q *Query) Outcome() Outcome { return q.outcome }

// Verdict returns whether any upstream may have run the request.
func (q *Query) Verdict() verdict.Verdict { return q.verdict }

// Answered returns the number of shards that have answered.
func (q *Query) Answered() int { return q.answered }

// Start sends the first attempt of each shard.
func (q *Query) Start(now time.Time) {
	for i := range q.shards {
		q.send(now, i, First)
	}
	q.updateOutcome(now)
}

func (q *Query) send(now time.Time, i int, kind Kind) {
	s := &q.shards[i]
	s.retryAt = time.Time{}
	switch q.sender.Send(i, kind) {
	case Started:
		s.inFlight++
		s.sends++
		s.hedgeAt = time.Time{}
		if q.policy.Idempotent && q.policy.HedgeDelay > 0 && s.runs+s.inFlight < q.policy.MaxRuns {
			s.hedgeAt = now.Add(q.policy.HedgeDelay)
		}
	case NoUpstream:
		s.hedgeAt = time.Time{}
		if s.inFlight > 0 {
			return
		}
		if next := now.Add(upstreamPollInterval); next.Before(q.policy.UpstreamWaitDeadline) {
			s.retryAt, s.retryKind = next, kind
			return
		}
		q.fail(i)
	case Elsewhere:
		s.hedgeAt = time.Time{}
		q.elsewhere = true
	case NoBudget, AtLimit:
		s.hedgeAt = time.Time{}
		if s.inFlight == 0 {
			q.fail(i)
		}
	}
}

func (q *Query) fail(i int) {
	if q.shards[i].state == stateOpen && !q.elsewhere {
		q.shards[i].state = stateFailed
		q.failed++
	}
}

// OnResult handles the end of an attempt. It returns false if the shard or the
// request had already ended.
func (q *Query) OnResult(now time.Time, i int, answered bool, v verdict.Verdict) bool {
	s := &q.shards[i]
	s.inFlight--
	q.verdict = verdict.Join(q.verdict, v)
	if v != verdict.NotRun {
		s.runs++
	}
	if s.state != stateOpen || q.outcome != Running {
		return false
	}
	if answered {
		s.state = stateAnswered
		q.answered++
		q.updateOutcome(now)
		return true
	}
	q.retry(now, i, v)
	q.updateOutcome(now)
	return true
}

func (q *Query) retry(now time.Time, i int, v verdict.Verdict) {
	s := &q.shards[i]
	mayRepeat := v == verdict.NotRun || q.policy.Idempotent
	if mayRepeat && s.runs+s.inFlight < q.policy.MaxRuns && s.sends < q.policy.MaxRuns+maxRejected {
		q.send(now, i, Retry)
		return
	}
	if s.inFlight == 0 {
		q.fail(i)
	}
}

// maxRejected is how many attempts beyond MaxRuns a shard may be sent to
// replace rejected ones.
const maxRejected = 2

// OnElsewhereFailed handles the failure of another VM to run the request, of which v says
// whether that VM's upstreams may have run it.
func (q *Query) OnElsewhereFailed(now time.Time, v verdict.Verdict) {
	q.elsewhere = false
	q.verdict = verdict.Join(q.verdict, v)
	for i := range q.shards {
		if s := &q.shards[i]; s.inFlight == 0 && s.retryAt.IsZero() {
			q.fail(i)
		}
	}
	q.updateOutcome(now)
}

// OnTimer handles the time returned by NextTimer.
func (q *Query) OnTimer(now time.Time) {
	if q.outcome != Running {
		return
	}
	hedge := Hedge
	if !q.sufficient(q.answered) {
		hedge = UrgentHedge
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.state != stateOpen {
			continue
		}
		if isDue(s.retryAt, now) {
			q.send(now, i, s.retryKind)
		}
		if isDue(s.hedgeAt, now) {
			s.hedgeAt = time.Time{}
			q.send(now, i, hedge)
		}
	}
	q.updateOutcome(now)
}

func isDue(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// sufficient reports whether answers from n shards are a success.
func (q *Query) sufficient(n int) bool {
	return n > 0 && float64(n) >= q.policy.MinShare*float64(q.policy.Shards)-shareTolerance
}

// shareTolerance absorbs the rounding of a fraction times a count.
const shareTolerance = 1e-9

// updateOutcome ends the request once its result is certain or its time is
// over.
func (q *Query) updateOutcome(now time.Time) {
	if q.outcome != Running {
		return
	}
	open := q.policy.Shards - q.answered - q.failed
	switch {
	case !q.sufficient(q.answered + open):
		q.outcome = Unanswerable
	case open == 0, q.sufficient(q.answered) && !now.Before(q.policy.SoftDeadline):
		q.outcome = Success
	case !now.Before(q.policy.Deadline):
		q.outcome = TimedOut
	}
}

// End ends a running request before its deadline, with the answers so far if they suffice.
func (q *Query) End() {
	switch {
	case q.outcome != Running:
	case q.sufficient(q.answered):
		q.outcome = Success
	default:
		q.outcome = TimedOut
	}
}

// NextTimer returns when OnTimer is due.
func (q *Query) NextTimer(now time.Time) time.Time {
	next := q.policy.Deadline
	if now.Before(q.policy.SoftDeadline) {
		next = earlier(next, q.policy.SoftDeadline)
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.state == stateOpen {
			next = earlier(earlier(next, s.hedgeAt), s.retryAt)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
