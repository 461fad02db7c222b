// Package fanout decides on the attempts of one request: one upstream of each of
// its shards, hedges, retries, and when the answers in hand are enough.
//
// A request to a single service is a request to one shard. The package has no
// I/O: its owner passes events in and carries out what Sender asks for.
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
	// Hedge joins an attempt that takes long, where the request can do without
	// the shard.
	Hedge
	// UrgentHedge does so where the request fails or is late without it.
	UrgentHedge
)

// String returns the name that logs carry.
func (k Kind) String() string {
	return [...]string{"first", "retry", "hedge", "urgent_hedge"}[k]
}

// SendResult is the result of asking for an attempt.
type SendResult uint8

// The results of Sender.Send.
const (
	// Started means that the attempt is under way and a result will come.
	Started SendResult = iota
	// NoUpstream means that no upstream can take it now.
	NoUpstream
	// NoBudget means that repeats are used up.
	NoBudget
)

// Sender starts attempts.
type Sender interface {
	Send(shard int, kind Kind) SendResult
}

// Policy holds what is fixed for a request.
type Policy struct {
	Shards int
	// MinShare is the least share of shards that makes a success.
	MinShare float64
	// MaxRuns is the number of upstreams that may run the request, for each shard.
	MaxRuns    int
	Idempotent bool
	// HedgeDelay is the wait before a second attempt; 0 turns hedges off.
	HedgeDelay time.Duration
	// SoftDeadline is when a partial answer goes out if it reaches MinShare.
	SoftDeadline time.Time
	// UpstreamWaitDeadline is how long a shard may wait for an upstream.
	UpstreamWaitDeadline time.Time
	// Deadline is when the request ends without a success.
	Deadline time.Time
}

// upstreamPollInterval is the wait before an upstream is looked for again.
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
	retryAt   time.Time // zero: no retry waits
	retryKind Kind      // of the attempt that waits
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
}

// Outcome is the state of the request as a whole.
type Outcome uint8

// The outcomes of a request.
const (
	Running Outcome = iota
	// Success means that enough shards have answered; maybe not all of them.
	Success
	// Unanswerable means that too many shards can't answer any more.
	Unanswerable
	// TimedOut means that the deadline has passed.
	TimedOut
)

// New returns a request that Start sets going.
func New(p Policy, s Sender) *Query {
	return &Query{policy: p, sender: s, shards: make([]shard, p.Shards)}
}

// Outcome tells whether the request has ended.
func (q *Query) Outcome() Outcome { return q.outcome }

// Verdict tells whether the request may have run anywhere.
func (q *Query) Verdict() verdict.Verdict { return q.verdict }

// Answered returns the number of shards that have answered.
func (q *Query) Answered() int { return q.answered }

// Start sends the first attempts.
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
	case NoBudget:
		s.hedgeAt = time.Time{}
		if s.inFlight == 0 {
			q.fail(i)
		}
	}
}

func (q *Query) fail(i int) {
	if q.shards[i].state == stateOpen {
		q.shards[i].state = stateFailed
		q.failed++
	}
}

// OnResult tells how an attempt at a shard ended. It returns false if the shard
// had ended before.
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

// maxRejected is the number of attempts, beyond those that may run, that
// upstreams may reject before a shard is given up.
const maxRejected = 2

// OnTimer tells that Next has come.
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

// sufficient reports whether n shards make a success.
func (q *Query) sufficient(n int) bool {
	return n > 0 && float64(n) >= q.policy.MinShare*float64(q.policy.Shards)-shareTolerance
}

// shareTolerance absorbs the rounding of a share times a count.
const shareTolerance = 1e-9

// updateOutcome ends the request if nothing more is to be waited for.
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

// NextTimer returns when Timer is due.
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
