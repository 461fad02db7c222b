package scatter

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Spec describes one query.
type Spec struct {
	// Service is the service's name.
	Service string
	// Layout is the catalog's current shards of the service. It is shared and
	// read-only.
	Layout []catalog.Shard
	// RequestID is shared by all attempts.
	RequestID string
	// Deadline ends the query.
	Deadline time.Time
	// Idempotent reports whether a shard may run the request more than once.
	Idempotent bool
	// SingleShard reports whether the query goes to the shard Shard alone.
	SingleShard bool
	// Shard is the shard of a SingleShard query.
	Shard int
	// OneSnapshot reports whether all answers must come from one index snapshot.
	OneSnapshot bool
	// MinCoverage is the least coverage that the caller accepts, as a fraction.
	// 1 means a complete answer only.
	MinCoverage float64
}

// Shared holds the state that all queries of one service on one daemon share.
type Shared struct {
	Picker  Picker
	Budgets *Budgets
	// Latency may be nil: hedges are then due after half of the remaining time.
	Latency *Latency
	// Recent may be nil: all queries then start by accepting any snapshot.
	Recent *RecentSnapshot
	Policy Policy
}

// Query runs one query over the shards of a service. It is a state machine: its
// methods take the time and an event and return actions. It is owned by one
// goroutine at a time.
//
// The owner calls Start once, executes the returned actions in order, and
// reports the end of every attempt by OnResult, also after Cancel and Finish.
// When the time returned by NextTimer is reached, it first passes on the
// results that have arrived and then calls OnTimer. It may call Reset for the
// next query once Pending is zero, or after Close.
type Query struct {
	spec   Spec
	shared Shared

	shards   []shardState
	attempts []attempt
	firstID  int // ID of attempts[0]; IDs aren't reused after Reset

	snapshots []snapshotState
	current   int       // index of the requested snapshot, or none
	settled   bool      // from now on only a restart changes the current snapshot
	settleAt  time.Time // deadline for settling on a snapshot
	// waitForSlowUntil is the time until which the query waits for slow
	// replicas. From then on they justify a restart. It is twice the hedge
	// delay before the deadline, so that a restart is likely to end in time.
	waitForSlowUntil time.Time
	reported         int // shards with the reported flag
	failedShards     int // shards given up before a snapshot was known

	nextTimer  time.Time // earliest timer; zero: none
	finished   bool
	pending    int // attempts without a Result
	verdict    verdict.Verdict
	retryAfter time.Duration
	stats      Stats
	answerBuf  Answer // buffer for Finish.Answer
	uncredited int    // first requests not yet credited to the budgets

	actions []Action
	sends   []Send
	cancels []Cancel
	finish  Finish
	tried   []string
	missing []int
	parts   []Part
}

// none is the index of no snapshot or attempt. As the snapshot that an attempt
// requests, it stands for any.
const none = -1

type shardState struct {
	lastAttempt  int // index of the latest attempt, or none
	running      int // attempts without a Result that aren't canceled
	canceled     int // canceled attempts without a Result
	sent         int
	hedges       int
	reported     bool // an attempt has ended, or the shard was given up
	mayHaveRun   bool // an attempt has run or may have run
	failed       bool // no further attempt is allowed for any snapshot
	nextKind     kind // of the next attempt
	cause        verdict.Code
	hedgeAt      time.Time // zero: no hedge is due
	pollAt       time.Time // zero: the shard doesn't wait for capacity
	waitDeadline time.Time // end of the wait for capacity
}

type attempt struct {
	id       int
	shard    int
	previous int // index of the shard's previous attempt, or none
	snapshot int // index of the requested snapshot, or none for any
	kind     kind
	target   Target
	sentAt   time.Time
	ended    bool
	canceled bool
	answered bool   // ended with an answer
	failed   bool   // ended without an answer, for a reason other than its snapshot
	lacks    uint16 // bit set of the snapshots that the replica reported as missing
}

// kind selects the budget that an attempt is charged to.
type kind uint8

const (
	kindFirst kind = iota
	kindHedge
	kindRetry
	kindSnapshotRetry
)

// New returns a Query that is ready for Start.
func New(spec Spec, shared Shared) *Query {
	q := &Query{shared: shared}
	q.Reset(spec)
	return q
}

// Reset prepares the Query for another query of the same service and reuses its
// buffers. Attempts that are still pending must be ended first by Close.
func (q *Query) Reset(spec Spec) {
	invariant.Check(q.pending == 0, "scatter_reset_with_pending_attempts")
	q.firstID += len(q.attempts)
	q.spec = spec
	q.attempts = q.attempts[:0]
	q.snapshots = q.snapshots[:0]
	q.current = none
	q.settled = false
	q.settleAt = time.Time{}
	q.waitForSlowUntil = time.Time{}
	q.uncredited = 0
	q.reported = 0
	q.failedShards = 0
	q.nextTimer = time.Time{}
	q.finished = false
	q.pending = 0
	q.verdict = verdict.NotRun
	q.retryAfter = 0
	q.stats = Stats{}
	q.answerBuf = Answer{}
	q.finish = Finish{}
	q.resetShards(len(spec.Layout))
	if !spec.OneSnapshot {
		q.current = q.snapshotIndex(SnapshotInfo{Shards: len(spec.Layout)})
		q.settled = true
	}
}

func (q *Query) resetShards(n int) {
	if cap(q.shards) < n {
		q.shards = make([]shardState, n)
	}
	q.shards = q.shards[:n]
	for i := range q.shards {
		q.shards[i] = shardState{lastAttempt: none, cause: verdict.CodeUnavailable}
	}
}

// Start sends the first attempt to every shard.
func (q *Query) Start(now time.Time) []Action {
	q.beginCall()
	if len(q.shards) == 0 || q.spec.SingleShard && uint(q.spec.Shard) >= uint(len(q.shards)) {
		q.refuse(now, verdict.CodeUnavailable, "the service has no such shard")
		return q.actions
	}
	if !now.Before(q.spec.Deadline) {
		q.refuse(now, verdict.CodeDeadline, "the deadline has passed")
		return q.actions
	}
	if q.spec.OneSnapshot {
		delay := q.hedgeDelay(now, q.firstShard())
		q.settleAt = now.Add(delay)
		q.waitForSlowUntil = q.spec.Deadline.Add(-2 * delay)
		if info, ok := q.shared.Recent.next(q.shared.Policy.DiscoveryInterval); ok {
			q.current = q.addUsable(info)
		}
	}
	q.scheduleQuery(now)
	for k := range q.shards {
		if q.inScope(k) {
			q.ensureAttempt(now, k)
		}
	}
	return q.endCall(now)
}

// OnResult handles the end of an attempt. Results of unknown attempts and
// repeated results are ignored.
func (q *Query) OnResult(now time.Time, r Result) []Action {
	q.beginCall()
	i := r.Attempt - q.firstID
	if i < 0 || i >= len(q.attempts) || q.attempts[i].ended {
		return nil
	}
	a := &q.attempts[i]
	q.validateResult(a, &r)
	q.endAttempt(now, a, r.Report)
	q.recordResult(a, &r)
	if q.finished {
		return nil
	}
	if r.Report.Outcome == OutcomeAnswered {
		q.onAnswer(a, &r)
	} else {
		q.onFailure(now, a, &r)
	}
	q.trySettle(now)
	q.continueShard(now, a.shard)
	return q.endCall(now)
}

// OnTimer runs the timers that are due. Early and late calls are harmless.
func (q *Query) OnTimer(now time.Time) []Action {
	q.beginCall()
	if q.finished || q.nextTimer.IsZero() || now.Before(q.nextTimer) {
		return nil
	}
	q.nextTimer = time.Time{}
	q.scheduleQuery(now)
	if now.Before(q.spec.Deadline) {
		q.trySettle(now)
		q.runTimers(now)
	}
	return q.endCall(now)
}

// NextTimer returns when to call OnTimer next, and false if no timer is set.
func (q *Query) NextTimer() (time.Time, bool) {
	if q.finished || q.nextTimer.IsZero() {
		return time.Time{}, false
	}
	return q.nextTimer, true
}

// Abandon ends the query with the refusal because the caller canceled or the
// daemon stops. The verdict of the refusal is joined with those of the
// attempts.
func (q *Query) Abandon(now time.Time, refusal *verdict.Refusal) []Action {
	q.beginCall()
	if q.finished {
		return nil
	}
	if refusal == nil {
		refusal = verdict.Refuse(verdict.CodeNotReady, q.shared.Policy.RetryAfter, "the request was given up")
	}
	q.finishWith(now, Finish{Refusal: refusal})
	return q.actions
}

// Expire ends the query before its deadline in the same way as at it, because the daemon stops.
func (q *Query) Expire(now time.Time) []Action {
	q.beginCall()
	if q.finished {
		return nil
	}
	q.finishBest(now, verdict.CodeDeadline)
	return q.actions
}

// Stats holds the counts of a query for metrics.
type Stats struct {
	// Attempts counts upstream requests. Hedges, Retries and SnapshotRetries
	// count the extra attempts among them.
	Attempts, Hedges, Retries, SnapshotRetries int
	// Restarts counts changes of the snapshot after the query had settled on
	// one.
	Restarts int
	// Mismatches counts answers that were discarded because they belonged to
	// another attempt or snapshot or were truncated.
	Mismatches int
}

// Stats returns the counts of the query. They stay valid until Reset.
func (q *Query) Stats() Stats { return q.stats }

// Pending returns the number of attempts without a Result.
func (q *Query) Pending() int { return q.pending }

// Close ends the reservations of all attempts without a Result, as canceled,
// and releases the bodies. Later Results are ignored, also after Reset.
func (q *Query) Close(now time.Time) {
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.ended {
			q.endAttempt(now, a, Report{Outcome: OutcomeCanceled, Latency: now.Sub(a.sentAt), Load: -1})
		}
	}
	q.finished = true
	clear(q.parts)
	for i := range q.snapshots {
		clear(q.snapshots[i].bodies)
	}
}

func (q *Query) beginCall() {
	clear(q.actions)
	q.actions = q.actions[:0]
	q.sends = q.sends[:0]
	q.cancels = q.cancels[:0]
}

// endCall completes a call: it finishes the query if possible and credits the
// budgets with the first requests that were sent.
func (q *Query) endCall(now time.Time) []Action {
	if !q.finished && now.Before(q.spec.Deadline) {
		q.trySettle(now)
	}
	q.conclude(now)
	if q.uncredited > 0 {
		q.shared.Budgets.earn(q.uncredited)
		q.uncredited = 0
	}
	return q.actions
}

// scheduleQuery schedules the timers of the query as a whole.
func (q *Query) scheduleQuery(now time.Time) {
	q.schedule(q.spec.Deadline)
	if now.Before(q.waitForSlowUntil) {
		q.schedule(q.waitForSlowUntil)
	}
}

func (q *Query) schedule(t time.Time) {
	if q.nextTimer.IsZero() || t.Before(q.nextTimer) {
		q.nextTimer = t
	}
}

// inScope reports whether the query includes the shard.
func (q *Query) inScope(k int) bool {
	return !q.spec.SingleShard || k == q.spec.Shard
}

func (q *Query) firstShard() int {
	if q.spec.SingleShard {
		return q.spec.Shard
	}
	return 0
}

// scope returns the number of the layout's shards that the query includes.
func (q *Query) scope() int {
	if q.spec.SingleShard {
		return 1
	}
	return len(q.shards)
}
