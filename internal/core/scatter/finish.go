package scatter

import (
	"fmt"
	"math"
	"time"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// conclude finishes the query when a complete answer is there, when the deadline
// has passed, or when no more can be gained.
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

// hasUnavailableShard tells whether a shard of the wanted snapshot is lost.
func (q *Query) hasUnavailableShard() bool {
	return q.failedShards > 0 || q.snapshots[q.current].unavailableCount > 0 || q.beyondLayout() > 0
}

// concludeUnsettled gives up a query without any answer when a shard is lost
// that a complete answer needs, or all are.
func (q *Query) concludeUnsettled(now time.Time) {
	lost := 0
	for k := range q.shards {
		if q.inScope(k) && q.shards[k].failed {
			lost++
		}
	}
	if lost > 0 && (lost == q.scope() || q.requiredShards(q.scope()) > q.scope()-lost) {
		q.finishBest(now, q.failureCode())
	}
}

// requiredShards returns the shards out of total that the caller asks for.
func (q *Query) requiredShards(total int) int {
	n := int(math.Ceil(q.spec.MinCoverage*float64(total) - 1e-9))
	return min(max(n, 1), total)
}

// coverageReachable tells whether some snapshot can still reach the wanted coverage.
func (q *Query) coverageReachable() bool {
	if !q.settled && !q.layoutCoverageLost() {
		return true
	}
	for i := range q.snapshots {
		reach := q.answeredOrRunning(i)
		if i == q.current {
			reach = q.reachableShards(i)
		}
		if reach >= q.requiredShards(q.total(i)) {
			return true
		}
	}
	return false
}

// layoutCoverageLost tells whether too many shards of the layout have failed whatever
// the snapshot, and no snapshot is known that can do without them.
func (q *Query) layoutCoverageLost() bool {
	for i := range q.snapshots {
		if q.sufficient(i) {
			return false
		}
	}
	lost := 0
	for k := range q.shards {
		if q.inScope(k) && !q.answeredAny(k) && q.exhausted(k, none) {
			lost++
		}
	}
	return q.requiredShards(q.scope()) > q.scope()-lost
}

// hasPendingWork tells whether an answer may still come.
func (q *Query) hasPendingWork() bool {
	for k := range q.shards {
		s := &q.shards[k]
		if s.running > 0 || !s.pollAt.IsZero() {
			return true
		}
	}
	return !q.settled
}

// failureCode tells why shards of the wanted snapshot are lost.
func (q *Query) failureCode() verdict.Code {
	code := verdict.CodeIncomplete
	for k := range q.shards {
		s := &q.shards[k]
		lost := s.failed
		if q.current != none {
			gone := q.snapshots[q.current].unavailable
			lost = k < len(gone) && gone[k]
		}
		if !lost || !q.inScope(k) {
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
		if q.snapshots[i].answeredCount == q.total(i) {
			q.updateRecent(i)
			q.finishWith(now, Finish{Answer: q.answer(i)})
			return true
		}
	}
	return false
}

// updateRecent lets later queries start with the snapshot.
func (q *Query) updateRecent(i int) {
	if q.spec.Snapshots && !q.spec.SingleShard {
		q.shared.Recent.store(q.snapshots[i].info)
	}
}

// finishBest answers from the snapshot with the largest coverage if that is
// enough for the caller, and refuses otherwise.
func (q *Query) finishBest(now time.Time, code verdict.Code) {
	best := none
	for i := range q.snapshots {
		if q.snapshots[i].answeredCount < q.requiredShards(q.total(i)) {
			continue
		}
		if best == none || q.snapshots[i].answeredCount*q.total(best) > q.snapshots[best].answeredCount*q.total(i) {
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
		covered, total = q.snapshots[q.current].answeredCount, q.total(q.current)
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

// refuse finishes the query with a refusal. A request that must not be repeated
// after it may have run gets no advice to retry.
func (q *Query) refuse(now time.Time, code verdict.Code, message string) {
	retryAfter := max(q.retryAfter, q.shared.Policy.RetryAfter)
	q.finishWith(now, Finish{Refusal: &verdict.Refusal{Code: code, Message: message, RetryAfter: retryAfter}})
}

// finishWith gives up what still runs and ends the query.
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

// completeRefusal completes the refusal by the verdict over all attempts. One that has no
// result yet may have run.
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

// mayHaveRun tells whether an attempt may have run or still may.
func (q *Query) mayHaveRun() bool {
	for k := range q.shards {
		if q.shards[k].mayHaveRun || q.shards[k].running+q.shards[k].canceled > 0 {
			return true
		}
	}
	return false
}

// discardUnsent takes back the attempts that the owner has not seen yet: they never
// run.
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
