package scatter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// TestQueryInFakeWorld runs several queries on one Query against replicas that
// hold different snapshots. Attempts fail in every way; results are lost,
// delayed, repeated and reordered; snapshots roll out; the owner pauses.
func TestQueryInFakeWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkWorld(t, func(s Shared) engine { return New(Spec{}, s) })
	})
}

// TestQueryFindsTheCommonSnapshot requires a complete answer when every replica
// answers correctly and one replica of each shard holds the same snapshot.
func TestQueryFindsTheCommonSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.versions[0].Shards = len(w.layout)
		w.shareSnapshot()
		recent := &RecentSnapshot{}
		recent.store(w.versions[0])
		w.seen = map[string]bool{w.versions[0].ID: true}
		w.policy.DiscoveryInterval = rapid.IntRange(0, 2).Draw(t, "discover")
		w.engine = New(Spec{}, Shared{Picker: w, Budgets: NewBudgets(), Latency: w.drawLatency(), Recent: recent, Policy: w.policy})
		w.begin(Spec{Service: "s", Layout: w.layout, Deadline: w.now.Add(time.Second), Idempotent: true, OneSnapshot: true, MinCoverage: 1})
		w.engine.Reset(w.spec)
		w.apply(w.engine.Start(w.now))
		for w.finish == nil {
			w.deliverReplicaResult()
		}
		if w.finish.Answer == nil {
			t.Fatalf("refused: %v", w.finish.Refusal)
		}
	})
}

// shareSnapshot adds the first version to one replica of each shard.
func (w *world) shareSnapshot() {
	for k := range w.layout {
		for _, u := range w.layout[k].Replicas {
			r := w.replicas[u.ID]
			r.holds = w.drawHeld(k)
		}
		u := rapid.SampledFrom(w.layout[k].Replicas).Draw(w.t, "common")
		r := w.replicas[u.ID]
		if !slices.Contains(r.holds, w.versions[0]) {
			r.holds = append(r.holds, w.versions[0])
		}
	}
}

func (w *world) deliverReplicaResult() {
	var running []*trackedAttempt
	for _, f := range w.attempts {
		if !f.delivered {
			running = append(running, f)
		}
	}
	if len(running) == 0 {
		w.timer()
		return
	}
	f := rapid.SampledFrom(running).Draw(w.t, "flight")
	r := w.replicaResult(Result{Attempt: f.ID}, f)
	f.delivered = true
	w.recordResult(f, &r)
	w.apply(w.engine.OnResult(w.now, r))
}

func checkWorld(t *rapid.T, build func(Shared) engine) {
	w := newWorld(t)
	budgets := NewBudgets()
	hedges := rapid.IntRange(0, 3).Draw(t, "hedges")
	extra := rapid.IntRange(0, 12).Draw(t, "extra")
	budgets.hedge.tokens.Store(int64(hedges) * tokenUnit)
	budgets.retry.tokens.Store(int64(extra) * tokenUnit)
	budgets.snapshotRetry.tokens.Store(int64(extra) * tokenUnit)
	w.engine = build(Shared{Picker: w, Budgets: budgets, Latency: w.drawLatency(), Recent: &RecentSnapshot{}, Policy: w.policy})
	for range rapid.IntRange(1, 3).Draw(t, "queries") {
		w.runQuery()
	}
	if limit := float64(hedges) + HedgeRatio*float64(w.firsts); float64(w.hedges) > limit {
		t.Fatalf("%d hedges, budget %v", w.hedges, limit)
	}
	if limit := 2*float64(extra) + (RetryRatio+SnapshotRetryRatio)*float64(w.firsts) + float64(w.missingSnapshots); float64(w.extra) > limit {
		t.Fatalf("%d repeated requests, budget %v", w.extra, limit)
	}
}

// drawLatency returns a tracker that is empty or has recorded latencies of 4
// ms.
func (w *world) drawLatency() *Latency {
	l := NewLatency(len(w.layout))
	if rapid.Bool().Draw(w.t, "warm") {
		for k := range w.layout {
			for range minSamples {
				l.Record(k, 4*time.Millisecond)
			}
		}
	}
	return l
}

func (w *world) runQuery() {
	w.begin(w.drawSpec())
	w.engine.Reset(w.spec)
	w.apply(w.engine.Start(w.now))
	for range rapid.SampledFrom([]int{0, 10, 20, 40, 80}).Draw(w.t, "steps") {
		w.step()
	}
	for w.finish == nil {
		w.timer()
	}
	if rapid.IntRange(0, 3).Draw(w.t, "close") == 0 {
		w.engine.Close(w.now)
	}
	for _, f := range w.attempts {
		if !f.delivered {
			w.deliver(f)
		}
	}
	w.checkEnd()
}

func (w *world) drawSpec() Spec {
	return Spec{
		Service:     "s",
		Layout:      w.layout,
		Deadline:    w.now.Add(rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond, time.Second}).Draw(w.t, "deadline")),
		Idempotent:  rapid.IntRange(0, 3).Draw(w.t, "idempotent") > 0,
		SingleShard: rapid.IntRange(0, 3).Draw(w.t, "single") == 0,
		Shard:       rapid.IntRange(0, len(w.layout)-1).Draw(w.t, "shard"),
		OneSnapshot: rapid.IntRange(0, 3).Draw(w.t, "snapshots") > 0,
		MinCoverage: rapid.SampledFrom([]float64{1, 1, 0.5, 0}).Draw(w.t, "coverage"),
	}
}

func (w *world) step() {
	switch rapid.IntRange(0, 19).Draw(w.t, "step") {
	case 0:
		w.changeSnapshots()
	case 1:
		w.toggleFull()
	case 2, 3:
		w.timer()
	case 4:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(w.t, "ms")) * time.Millisecond)
	case 5:
		w.pauseProcess()
	case 6:
		w.deliverUnknown()
	case 7:
		w.abandon()
	default:
		w.deliverAny()
	}
}

// deliverAny delivers an outstanding result, or sometimes repeats one.
func (w *world) deliverAny() {
	var open []*trackedAttempt
	for _, f := range w.attempts {
		if !f.delivered || rapid.IntRange(0, 9).Draw(w.t, "repeat") == 0 {
			open = append(open, f)
		}
	}
	if len(open) > 0 {
		w.deliver(rapid.SampledFrom(open).Draw(w.t, "flight"))
	}
}

// changeSnapshots changes the snapshots that a replica holds.
func (w *world) changeSnapshots() {
	r := w.drawReplica()
	r.holds = w.drawHeld(r.shard)
}

// toggleFull makes a replica full, or free again.
func (w *world) toggleFull() {
	r := w.drawReplica()
	r.full = !r.full
}

func (w *world) drawReplica() *replica {
	k := rapid.IntRange(0, len(w.layout)-1).Draw(w.t, "of")
	u := rapid.SampledFrom(w.layout[k].Replicas).Draw(w.t, "replica")
	return w.replicas[u.ID]
}

// timer fires the next timer, at its time or late.
func (w *world) timer() {
	at, ok := w.engine.NextTimer()
	if !ok {
		w.apply(w.engine.OnTimer(w.now))
		return
	}
	if at.After(w.now) {
		w.now = at
	}
	w.apply(w.engine.OnTimer(w.now))
	if at, ok := w.engine.NextTimer(); ok && !at.After(w.now) {
		w.t.Fatalf("the timer for %v is still set after it fired", at)
	}
}

// pauseProcess simulates a pause of the process past the deadline, followed by
// either the timer or a result.
func (w *world) pauseProcess() {
	if rapid.IntRange(0, 3).Draw(w.t, "pause") > 0 {
		return
	}
	w.now = w.now.Add(time.Minute)
	if len(w.attempts) == 0 || rapid.Bool().Draw(w.t, "timer first") {
		w.apply(w.engine.OnTimer(w.now))
	}
}

// deliverUnknown delivers a result for an ID that no attempt of this query has.
func (w *world) deliverUnknown() {
	id := rapid.SampledFrom([]int{-1, 0, w.lastID + 1, w.lastID + 100}).Draw(w.t, "id")
	for _, f := range w.attempts {
		if f.ID == id {
			return
		}
	}
	body := []byte("a 0")
	if actions := w.engine.OnResult(w.now, Result{Attempt: id, Verdict: verdict.Ran, Snapshot: w.versions[0], Body: body}); len(actions) > 0 {
		w.t.Fatalf("a result of an unknown attempt caused %v", actions)
	}
}

func (w *world) abandon() {
	if w.finish != nil || rapid.IntRange(0, 3).Draw(w.t, "abandon") > 0 {
		return
	}
	w.apply(w.engine.Abandon(w.now, verdict.Refuse(verdict.CodeNotReady, time.Second, "stop")))
	if w.finish == nil {
		w.t.Fatalf("Abandon did not finish the query")
	}
}

// deliver reports the end of an attempt, or repeats the report.
func (w *world) deliver(f *trackedAttempt) {
	result := w.drawResult(f)
	if f.delivered {
		if actions := w.engine.OnResult(w.now, result); len(actions) > 0 {
			w.t.Fatalf("a repeated result caused %v", actions)
		}
		return
	}
	f.delivered = true
	f.verdict = result.Verdict
	f.ran = f.ran || result.Verdict == verdict.Ran
	w.checkRuns(f)
	w.recordResult(f, &result)
	w.apply(w.engine.OnResult(w.now, result))
}

// recordResult updates what the oracle expects the query to know.
func (w *world) recordResult(f *trackedAttempt, r *Result) {
	if w.finish != nil {
		return
	}
	w.verdict = verdict.Join(w.verdict, r.Verdict)
	for _, held := range r.Held {
		w.seen[held.ID] = true
	}
	if r.Report.Outcome == OutcomeSnapshotMissing {
		w.missingSnapshots++
	}
	f.answered = r.Report.Outcome == OutcomeAnswered
	f.failed = !f.answered && r.Report.Outcome != OutcomeSnapshotMissing && !f.canceled
	if !f.answered {
		return
	}
	w.seen[r.Snapshot.ID] = true
	id := r.Snapshot.ID
	if !w.spec.OneSnapshot {
		id = ""
	}
	foreign := w.spec.OneSnapshot && (f.Snapshot != "" && f.Snapshot != id || r.Snapshot.Shards != w.shardsOf(id))
	moved := w.spec.OneSnapshot && w.spec.SingleShard && r.Snapshot.Shards != len(w.layout)
	if foreign || moved {
		return
	}
	if w.answeredShards[id] == nil {
		w.answeredShards[id] = map[int]bool{}
	}
	w.answeredShards[id][f.Shard] = true
}

// checkRuns requires that a request that isn't idempotent runs at most once per
// shard, and that a refusal's verdict also holds for attempts that run late.
func (w *world) checkRuns(f *trackedAttempt) {
	w.checkNotRun(f)
	if w.spec.Idempotent || !f.ran {
		return
	}
	for _, other := range w.attempts {
		if other != f && other.ran && other.Shard == f.Shard {
			w.t.Fatalf("a request that isn't idempotent ran twice on shard %d", f.Shard)
		}
	}
}

func (w *world) checkEnd() {
	if w.engine.Pending() != 0 {
		w.t.Fatalf("%d attempts are pending at the end", w.engine.Pending())
	}
	for id, r := range w.replicas {
		if r.reserved != 0 {
			w.t.Fatalf("%d reservations of %s were not released", r.reserved, id)
		}
	}
}

// drawResult draws one of many ways for the attempt to end.
func (w *world) drawResult(f *trackedAttempt) Result {
	r := Result{Attempt: f.ID, Report: Report{Latency: w.now.Sub(epoch), Load: -1}}
	mayRun := rapid.Bool().Draw(w.t, "ran")
	if f.canceled && rapid.IntRange(0, 3).Draw(w.t, "crossed") > 0 {
		return w.uncertainResult(r, f, OutcomeCanceled, mayRun)
	}
	switch rapid.IntRange(0, 19).Draw(w.t, "outcome") {
	case 0:
		r.Report.Outcome = OutcomeShed
	case 1:
		r.Report.Outcome = OutcomeDraining
	case 2:
		r.Report.Outcome = OutcomeConnectFailed
	case 3:
		r.Report.Outcome = OutcomeConnectionLost
	case 4, 5:
		return w.uncertainResult(r, f, OutcomeConnectionLost, mayRun)
	case 6:
		return w.uncertainResult(r, f, OutcomeMismatch, mayRun)
	case 7:
		return w.uncertainResult(r, f, OutcomeFailed, mayRun)
	case 8:
		return w.otherSnapshot(r, f)
	default:
		return w.replicaResult(r, f)
	}
	return r
}

// uncertainResult is an end after which it is unknown whether the attempt ran.
func (w *world) uncertainResult(r Result, f *trackedAttempt, o Outcome, ran bool) Result {
	r.Report.Outcome = o
	r.Verdict = verdict.MayHaveRun
	f.ran = f.ran || ran && !f.delivered
	return r
}

// replicaResult is the result that the replica's current snapshots give.
func (w *world) replicaResult(r Result, f *trackedAttempt) Result {
	holds := w.replicas[f.Target.Upstream].holds
	i := slices.IndexFunc(holds, func(s SnapshotInfo) bool { return f.Snapshot == "" || s.ID == f.Snapshot })
	if i < 0 {
		r.Report.Outcome = OutcomeSnapshotMissing
		r.Held = holds
		return r
	}
	return w.answerResult(r, f, holds[i])
}

// otherSnapshot is an answer from another snapshot than the requested one, or
// with a shard count that contradicts an earlier one.
func (w *world) otherSnapshot(r Result, f *trackedAttempt) Result {
	s := rapid.SampledFrom(w.versions).Draw(w.t, "other")
	if f.Shard >= s.Shards {
		return w.replicaResult(r, f)
	}
	r = w.answerResult(r, f, s)
	if w.spec.OneSnapshot && w.answeredShards[s.ID] != nil && rapid.Bool().Draw(w.t, "contradicts") {
		r.Snapshot.Shards++
	}
	return r
}

func (w *world) answerResult(r Result, f *trackedAttempt, s SnapshotInfo) Result {
	r.Verdict = verdict.Ran
	r.Snapshot = s
	r.Body = fmt.Appendf(nil, "%s %d", s.ID, f.Shard)
	return r
}
