package scatter

import (
	"fmt"
	"math"
	"time"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// conclude finishes the query when an answer is complete, when the deadline has
// passed, when the required coverage is out of reach, or when nothing is
// pending.
func (q *Query) conclude(now time.Time) {
	if q.finished || q.finishComplete(now) {
		return
	}
	if !now.Before(q.spec.Deadline) {
		q.finishBest(now, verdict.CodeDeadline)
		return
	}
	if q.current == none {
		q.concludeUnsettled(now)
		return
	}
	if !q.hasUnavailableShard() && !q.restartDue(now) {
		return
	}
	for q.tryRestart(now) {
	}
	if q.finishComplete(now) {
		return
	}
	if !q.coverageReachable() || !q.hasPendingWork() {
		q.finishBest(now, q.failureCode())
	}
}

// hasUnavailableShard reports whether some shard of the current snapshot is
// failed, unavailable or outside the layout.
func (q *Query) hasUnavailableShard() bool {
	return q.failedShards > 0 || q.snapshots[q.current].unavailableCount > 0 || q.beyondLayout() > 0
}

// concludeUnsettled refuses a query that has no snapshot yet when the failed
// shards rule out the required coverage.
func (q *Query) concludeUnsettled(now time.Time) {
	failed := 0
	for k := range q.shards {
		if q.inScope(k) && q.shards[k].failed {
			failed++
		}
	}
	if failed > 0 && (failed == q.scope() || q.requiredShards(q.scope()) > q.scope()-failed) {
		q.finishBest(now, q.failureCode())
	}
}

// requiredShards returns how many shards out of total must answer for
// MinCoverage.
func (q *Query) requiredShards(total int) int {
	n := int(math.Ceil(q.spec.MinCoverage*float64(total) - 1e-9))
	return min(max(n, 1), total)
}

// coverageReachable reports whether some snapshot can still reach the required
// coverage.
func (q *Query) coverageReachable() bool {
	if !q.settled && !q.layoutCoverageLost() {
		return true
	}
	for i := range q.snapshots {
		reach := q.answeredOrRunning(i)
		if i == q.current {
			reach = q.reachableShards(i)
		}
		if reach >= q.requiredShards(q.shardsToAnswer(i)) {
			return true
		}
	}
	return false
}

// layoutCoverageLost reports whether too many shards of the layout have failed
// for any snapshot, and no known snapshot can reach the required coverage
// without them.
func (q *Query) layoutCoverageLost() bool {
	for i := range q.snapshots {
		if q.canSuffice(i) {
			return false
		}
	}
	failed := 0
	for k := range q.shards {
		if q.inScope(k) && !q.answeredAny(k) && q.exhausted(k, none) {
			failed++
		}
	}
	return q.requiredShards(q.scope()) > q.scope()-failed
}

// hasPendingWork reports whether a running attempt, a capacity wait or the
// choice of a snapshot is outstanding.
func (q *Query) hasPendingWork() bool {
	for k := range q.shards {
		s := &q.shards[k]
		if s.running > 0 || !s.pollAt.IsZero() {
			return true
		}
	}
	return !q.settled
}

// failureCode returns the code for the shards that are unavailable.
func (q *Query) failureCode() verdict.Code {
	code := verdict.CodeIncomplete
	for k := range q.shards {
		s := &q.shards[k]
		unavailable := s.failed
		if q.current != none {
			shards := q.snapshots[q.current].unavailable
			unavailable = k < len(shards) && shards[k]
		}
		if !unavailable || !q.inScope(k) {
			continue
		}
		if q.scope() == 1 || s.cause == verdict.CodeOverloaded {
			return s.cause
		}
		if q.verdict == verdict.NotRun {
			code = s.cause
		}
	}
	return code
}

func (q *Query) finishComplete(now time.Time) bool {
	for i := range q.snapshots {
		if q.snapshots[i].answeredCount == q.shardsToAnswer(i) {
			q.updateRecent(i)
			q.finishWith(now, Finish{Answer: q.answer(i)})
			return true
		}
	}
	return false
}

// updateRecent stores the snapshot of a complete answer for later queries.
func (q *Query) updateRecent(i int) {
	if q.spec.OneSnapshot && !q.spec.SingleShard {
		q.shared.Recent.store(q.snapshots[i].info)
	}
}

// finishBest answers from the snapshot with the largest coverage if that
// reaches MinCoverage, and refuses otherwise.
func (q *Query) finishBest(now time.Time, code verdict.Code) {
	best := none
	for i := range q.snapshots {
		if q.snapshots[i].answeredCount < q.requiredShards(q.shardsToAnswer(i)) {
			continue
		}
		if best == none || q.snapshots[i].answeredCount*q.shardsToAnswer(best) > q.snapshots[best].answeredCount*q.shardsToAnswer(i) {
			best = i
		}
	}
	if best != none {
		q.finishWith(now, Finish{Answer: q.answer(best)})
		return
	}
	q.refuse(now, code, q.refusalMessage(code))
}

// answer builds the answer from one snapshot.
func (q *Query) answer(i int) *Answer {
	s := &q.snapshots[i]
	q.parts = q.parts[:0]
	q.missing = q.missing[:0]
	first, last := 0, s.info.Shards
	if q.spec.SingleShard {
		first, last = q.spec.Shard, q.spec.Shard+1
	}
	for k := first; k < last; k++ {
		if k < len(s.answered) && s.answered[k] {
			q.parts = append(q.parts, Part{Shard: k, Body: s.bodies[k]})
		} else {
			q.missing = append(q.missing, k)
		}
	}
	invariant.Check(len(q.parts) == s.answeredCount, "scatter_coverage_true")
	a := &q.answerBuf
	a.Attempts = q.stats.Attempts
	a.Hedges = q.stats.Hedges
	a.Snapshot = s.info
	a.Parts = q.parts
	a.Missing = q.missing
	return a
}

func (q *Query) refusalMessage(code verdict.Code) string {
	covered, total := 0, q.scope()
	if q.current != none {
		covered, total = q.snapshots[q.current].answeredCount, q.shardsToAnswer(q.current)
	}
	switch code {
	case verdict.CodeDeadline:
		return fmt.Sprintf("the deadline passed with %d of %d shards answered", covered, total)
	case verdict.CodeOverloaded:
		return "the service lacks capacity"
	case verdict.CodeConnectionLost:
		return "the connection to the service was lost"
	case verdict.CodeUnavailable:
		return "no upstream of the service can be reached"
	}
	return fmt.Sprintf("only %d of %d shards can answer from one snapshot", covered, total)
}

// refuse finishes the query with a refusal.
func (q *Query) refuse(now time.Time, code verdict.Code, message string) {
	retryAfter := max(q.retryAfter, q.shared.Policy.RetryAfter)
	q.finishWith(now, Finish{Refusal: &verdict.Refusal{Code: code, Message: message, RetryAfter: retryAfter}})
}

// finishWith cancels the running attempts and ends the query.
func (q *Query) finishWith(now time.Time, f Finish) {
	invariant.Check(!q.finished, "scatter_finished_once")
	q.discardUnsent(now)
	for i := range q.attempts {
		q.cancel(&q.attempts[i])
	}
	if f.Refusal != nil {
		f.Refusal = q.completeRefusal(f.Refusal)
	}
	q.finish = f
	q.finished = true
	q.actions = append(q.actions, &q.finish)
}

// completeRefusal sets the refusal's verdict to the join over all attempts. An
// attempt without a result may have run. A request that must not be repeated
// after it may have run gets no RetryAfter.
func (q *Query) completeRefusal(r *verdict.Refusal) *verdict.Refusal {
	v := verdict.Join(r.Verdict, q.verdict)
	if q.pending > 0 {
		v = verdict.Join(v, verdict.MayHaveRun)
	}
	invariant.Check(v != verdict.NotRun || !q.mayHaveRun(), "scatter_not_run_true")
	r = r.WithVerdict(v)
	if v != verdict.NotRun && !q.spec.Idempotent {
		r.RetryAfter = 0
	}
	return r
}

// mayHaveRun reports whether an attempt may have run or still may.
func (q *Query) mayHaveRun() bool {
	for k := range q.shards {
		if q.shards[k].mayHaveRun || q.shards[k].running+q.shards[k].canceled > 0 {
			return true
		}
	}
	return false
}

// discardUnsent ends the attempts of this call, which the owner has not seen
// yet, so they never run.
func (q *Query) discardUnsent(now time.Time) {
	for i := range q.sends {
		a := &q.attempts[q.sends[i].Attempt.ID-q.firstID]
		q.endAttempt(now, a, Report{Outcome: OutcomeCanceled, Load: -1})
		q.stats.Attempts--
		if a.kind == kindFirst {
			q.uncredited--
		}
		q.shared.Budgets.refund(a.kind)
	}
	kept := q.actions[:0]
	for _, action := range q.actions {
		if c, ok := action.(*Cancel); ok && !q.attempts[c.Attempt-q.firstID].ended {
			kept = append(kept, c)
		}
	}
	q.actions = kept
	q.sends = q.sends[:0]
}
