package scatter

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// validateResult turns an answer that doesn't fit its attempt into a mismatch.
func (q *Query) validateResult(a *attempt, r *Result) {
	if r.Report.Outcome != OutcomeAnswered {
		return
	}
	r.Verdict = verdict.Ran
	if !q.spec.OneSnapshot {
		return
	}
	i := q.snapshotIndex(r.Snapshot)
	foreign := i == none || a.snapshot != none && i != a.snapshot
	if foreign || a.shard >= r.Snapshot.Shards {
		r.Report.Outcome = OutcomeMismatch
	}
}

// recordResult updates the verdict, the latencies and the budgets from the
// result.
func (q *Query) recordResult(a *attempt, r *Result) {
	s := &q.shards[a.shard]
	q.verdict = verdict.Join(q.verdict, r.Verdict)
	s.mayHaveRun = s.mayHaveRun || r.Verdict != verdict.NotRun
	q.markReported(a.shard)
	switch r.Report.Outcome {
	case OutcomeAnswered:
		q.shared.Latency.Record(a.shard, r.Report.Latency)
	case OutcomeShed:
		q.shared.Budgets.chargeShed()
		q.retryAfter = max(q.retryAfter, r.Report.RetryAfter)
	case OutcomeMismatch:
		q.stats.Mismatches++
	case OutcomeCanceled:
		if a.canceled && a.kind != kindHedge && s.hedges > 0 {
			q.shared.Latency.Record(a.shard, r.Report.Latency)
		}
	}
}

// markReported counts the shards that have had a result or were given up.
func (q *Query) markReported(k int) {
	if !q.shards[k].reported {
		q.shards[k].reported = true
		q.reported++
	}
}

// onAnswer stores the answer and cancels the shard's other attempts unless it
// is from another snapshot than the current one.
func (q *Query) onAnswer(a *attempt, r *Result) {
	i := 0
	if q.spec.OneSnapshot {
		i = q.snapshotIndex(r.Snapshot)
	}
	k := a.shard
	a.answered = true
	q.snapshots[i].store(k, r.Body)
	q.shards[k].nextKind = kindSnapshotRetry // only another snapshot can require a further attempt
	if q.current == none || i == q.current {
		q.cancelShard(k)
	}
}

// onFailure records why an attempt failed.
func (q *Query) onFailure(now time.Time, a *attempt, r *Result) {
	s := &q.shards[a.shard]
	if a.canceled {
		return
	}
	if s.running > 0 && s.hedges > 0 {
		s.hedgeAt = now // the remaining attempt is already slow, so hedge at once
	}
	s.nextKind = kindRetry
	s.cause = causeOf(r.Report.Outcome)
	if r.Report.Outcome != OutcomeSnapshotMissing {
		a.failed = true
		return
	}
	s.nextKind = kindSnapshotRetry
	if a.kind == kindFirst && a.snapshot != none {
		q.shared.Recent.onSnapshotMissing()
	}
	if r.Verdict == verdict.NotRun {
		q.shared.Budgets.refund(kindSnapshotRetry) // the replica did no work
	}
	q.recordHeld(a, r.Held)
}

// recordHeld records which snapshots the attempt's replica lacks.
func (q *Query) recordHeld(a *attempt, held []SnapshotInfo) {
	if len(held) == 0 {
		a.failed = a.snapshot == none
		if !a.failed {
			a.lacks = 1 << a.snapshot
		}
		return
	}
	var holds uint16
	for _, info := range held {
		if i := q.snapshotIndex(info); i != none {
			holds |= 1 << i
			q.snapshots[i].support++
		}
	}
	a.lacks = ^holds
	if a.snapshot == none {
		a.failed = holds == 0
	} else {
		a.lacks |= 1 << a.snapshot
	}
}

// continueShard starts the next attempt for a shard, if one is needed, after an
// attempt has ended.
func (q *Query) continueShard(now time.Time, k int) {
	if !now.Before(q.spec.Deadline) {
		return
	}
	if q.current != none && !q.needed(q.current, k) {
		return
	}
	if !q.settled && len(q.snapshots) > 0 && q.shards[k].nextKind == kindSnapshotRetry {
		return // it is retried once the query has settled on a snapshot
	}
	q.shards[k].pollAt = time.Time{} // the result may have changed what the shard waits for
	q.ensureAttempt(now, k)
	if s := &q.shards[k]; !s.hedgeAt.IsZero() {
		q.runHedge(now, k)
	}
}

// answeredAny reports whether the shard has answered from some snapshot.
func (q *Query) answeredAny(k int) bool {
	for i := range q.snapshots {
		if k < len(q.snapshots[i].answered) && q.snapshots[i].answered[k] {
			return true
		}
	}
	return false
}

func causeOf(o Outcome) verdict.Code {
	switch o {
	case OutcomeShed:
		return verdict.CodeOverloaded
	case OutcomeConnectFailed, OutcomeDraining, OutcomeCanceled:
		return verdict.CodeUnavailable
	case OutcomeConnectionLost:
		return verdict.CodeConnectionLost
	}
	return verdict.CodeIncomplete
}
