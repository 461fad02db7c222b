package scatter

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// engine is the interface of Query that the world drives; naive variants
// implement it too.
type engine interface {
	Reset(Spec)
	Start(time.Time) []Action
	OnResult(time.Time, Result) []Action
	OnTimer(time.Time) []Action
	NextTimer() (time.Time, bool)
	Abandon(time.Time, *verdict.Refusal) []Action
	Pending() int
	Close(time.Time)
}

// replica is a fake upstream. It answers from the first snapshot in holds.
type replica struct {
	shard    int
	holds    []SnapshotInfo
	full     bool
	reserved int
}

// trackedAttempt is the world's record of one attempt.
type trackedAttempt struct {
	Attempt
	canceled  bool
	delivered bool
	ran       bool
	answered  bool
	failed    bool
	verdict   verdict.Verdict
}

// world simulates a set of upstreams and is the oracle for one query at a time.
type world struct {
	t        *rapid.T
	now      time.Time
	layout   []catalog.Shard
	versions []SnapshotInfo
	replicas map[string]*replica
	engine   engine
	policy   Policy

	spec           Spec
	attempts       []*trackedAttempt // of the current query
	finish         *Finish
	verdict        verdict.Verdict // join over the delivered results
	answeredShards map[string]map[int]bool
	seen           map[string]bool
	lastID         int

	firsts, hedges, extra int // over all queries
	missingSnapshots      int // attempts that a replica rejected because it lacks the snapshot
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, replicas: map[string]*replica{}, lastID: -1, policy: DefaultPolicy()}
	n := rapid.IntRange(1, 5).Draw(t, "shards")
	w.layout = layoutOf(n, rapid.IntRange(1, 3).Draw(t, "replicas"))
	for _, id := range []string{"a", "b", "c"} {
		shards := max(1, n+rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(t, "map"))
		w.versions = append(w.versions, SnapshotInfo{ID: id, Shards: shards})
	}
	for k := range w.layout {
		for _, u := range w.layout[k].Replicas {
			w.replicas[u.ID] = &replica{shard: k, holds: w.drawHeld(k)}
		}
	}
	return w
}

func (w *world) drawHeld(k int) []SnapshotInfo {
	var held []SnapshotInfo
	order := rapid.SampledFrom([][]int{{0}, {0}, {1}, {1, 0}, {0, 1}, {2, 1}, {1, 2, 0}}).Draw(w.t, "held")
	for _, i := range order {
		if k < w.versions[i].Shards {
			held = append(held, w.versions[i])
		}
	}
	return held
}

// Pick implements Picker.
func (w *world) Pick(_ time.Time, _ string, k int, tried []string) (Target, bool) {
	replicas := w.layout[k].Replicas
	first := rapid.IntRange(0, len(replicas)-1).Draw(w.t, "pick")
	for i := range replicas {
		u := replicas[(first+i)%len(replicas)]
		if slices.Contains(tried, u.ID) || w.replicas[u.ID].full {
			continue
		}
		w.replicas[u.ID].reserved++
		return Target{Upstream: u.ID}, true
	}
	return Target{}, false
}

// Done implements Picker.
func (w *world) Done(_ time.Time, _ string, _ int, target Target, _ Report) {
	r := w.replicas[target.Upstream]
	r.reserved--
	if r.reserved < 0 {
		w.t.Fatalf("a reservation of %s ended twice", target.Upstream)
	}
}

// begin resets the oracle for the next query.
func (w *world) begin(spec Spec) {
	w.spec = spec
	w.attempts = nil
	w.finish = nil
	w.verdict = verdict.NotRun
	w.answeredShards = map[string]map[int]bool{}
	if w.seen == nil {
		w.seen = map[string]bool{}
	}
}

// apply checks and executes the actions of one call.
func (w *world) apply(actions []Action) {
	for _, action := range actions {
		if w.finish != nil {
			w.t.Fatalf("%T after the query finished", action)
		}
		switch a := action.(type) {
		case *Send:
			w.applySend(a.Attempt)
		case *Cancel:
			w.applyCancel(a.Attempt)
		case *Finish:
			w.applyFinish(*a)
		}
	}
	w.checkProgress()
}

func (w *world) applySend(a Attempt) {
	if a.ID <= w.lastID {
		w.t.Fatalf("attempt ID %d was used before", a.ID)
	}
	w.lastID = a.ID
	if !w.now.Before(w.spec.Deadline) {
		w.t.Fatalf("attempt %d starts after the deadline", a.ID)
	}
	if a.Snapshot != "" && !w.seen[a.Snapshot] {
		w.t.Fatalf("attempt %d requests the snapshot %q, which no result has named", a.ID, a.Snapshot)
	}
	first := true
	for _, f := range w.attempts {
		if f.Shard != a.Shard {
			continue
		}
		first = false
		if !f.delivered && !f.canceled && f.Target == a.Target {
			w.t.Fatalf("attempt %d duplicates attempt %d on %s", a.ID, f.ID, a.Target.Upstream)
		}
	}
	switch {
	case first:
		w.firsts++
	case a.Hedge:
		w.hedges++
	default:
		w.extra++
	}
	w.attempts = append(w.attempts, &trackedAttempt{Attempt: a})
}

func (w *world) applyCancel(id int) {
	for _, f := range w.attempts {
		if f.ID == id && !f.delivered && !f.canceled {
			f.canceled = true
			return
		}
	}
	w.t.Fatalf("cancel of attempt %d, which isn't running", id)
}

func (w *world) applyFinish(f Finish) {
	w.finish = &f
	for _, f := range w.attempts {
		if !f.delivered && !f.canceled {
			w.t.Fatalf("attempt %d still runs when the query finishes", f.ID)
		}
	}
	switch {
	case (f.Answer == nil) == (f.Refusal == nil):
		w.t.Fatalf("Finish has neither or both of answer and refusal: %+v", f)
	case f.Answer != nil:
		w.checkAnswer(f.Answer)
	default:
		w.checkRefusal(f.Refusal)
	}
}

// checkAnswer requires that the answer is from one snapshot and that its
// coverage is correct.
func (w *world) checkAnswer(a *Answer) {
	shards := len(w.layout)
	if w.spec.OneSnapshot {
		i := slices.IndexFunc(w.versions, func(v SnapshotInfo) bool { return v.ID == a.Snapshot.ID })
		if i < 0 {
			w.t.Fatalf("an answer from the unknown snapshot %q", a.Snapshot.ID)
		}
		shards = w.versions[i].Shards
	}
	want := make(map[int]bool)
	for k := range shards {
		if !w.spec.SingleShard || k == w.spec.Shard {
			want[k] = true
		}
	}
	total := len(want)
	for _, p := range a.Parts {
		w.checkPart(a, p, want)
		delete(want, p.Shard)
	}
	for _, k := range a.Missing {
		if !want[k] {
			w.t.Fatalf("shard %d is named as missing but isn't", k)
		}
		delete(want, k)
	}
	if len(want) != 0 {
		w.t.Fatalf("the shards %v are neither answered nor named as missing", want)
	}
	if c := float64(len(a.Parts)) / float64(total); c < w.spec.MinCoverage || a.Coverage() != c || c == 0 {
		w.t.Fatalf("coverage %v, reported as %v, minimum %v", c, a.Coverage(), w.spec.MinCoverage)
	}
}

func (w *world) checkPart(a *Answer, p Part, want map[int]bool) {
	if !want[p.Shard] {
		w.t.Fatalf("shard %d is not part of the answer or occurs twice", p.Shard)
	}
	var snapshot string
	var shard int
	if _, err := fmt.Sscanf(string(p.Body), "%s %d", &snapshot, &shard); err != nil {
		w.t.Fatalf("body %q: %v", p.Body, err)
	}
	if shard != p.Shard || w.spec.OneSnapshot && snapshot != a.Snapshot.ID {
		w.t.Fatalf("shard %d of %q answered with the body %q", p.Shard, a.Snapshot.ID, p.Body)
	}
}

// checkRefusal requires the verdict that follows from the delivered results.
func (w *world) checkRefusal(r *verdict.Refusal) {
	want := w.verdict
	for _, f := range w.attempts {
		if !f.delivered {
			want = verdict.Join(want, verdict.MayHaveRun)
		}
		w.checkNotRun(f)
	}
	if r.Verdict != want {
		w.t.Fatalf("verdict %v, want %v", r.Verdict, want)
	}
	if r.Code == verdict.CodeDeadline && w.now.Before(w.spec.Deadline) {
		w.t.Fatalf("refused with the deadline code before the deadline")
	}
}

// checkNotRun requires that an attempt did not run if the refusal says so.
func (w *world) checkNotRun(f *trackedAttempt) {
	if w.finish == nil || w.finish.Refusal == nil || w.finish.Refusal.Verdict != verdict.NotRun {
		return
	}
	if f.ran {
		w.t.Fatalf("said not to have run, but attempt %d ran", f.ID)
	}
}

// checkProgress requires that an unfinished query has a timer before its
// deadline, waits at most CapacityPollInterval while no attempt runs, and
// returns a complete answer at once.
func (w *world) checkProgress() {
	if w.finish != nil {
		return
	}
	at, ok := w.engine.NextTimer()
	if !ok || at.After(w.spec.Deadline) {
		w.t.Fatalf("no timer before the deadline")
	}
	if !w.now.Before(w.spec.Deadline) {
		w.t.Fatalf("not finished after the deadline")
	}
	running := 0
	for _, f := range w.attempts {
		if !f.delivered && !f.canceled {
			running++
		}
	}
	if running == 0 && at.After(w.now.Add(w.policy.CapacityPollInterval)) {
		w.t.Fatalf("no attempt runs, but the query waits for another %v", at.Sub(w.now))
	}
	w.checkNoFutileWait()
	for id, shards := range w.answeredShards {
		if len(shards) == w.totalOf(id) {
			w.t.Fatalf("a complete answer from %q is held back", id)
		}
	}
}

// checkNoFutileWait requires that a query for a complete answer ends as soon as
// all replicas of a shard have failed.
func (w *world) checkNoFutileWait() {
	if w.spec.MinCoverage < 1 {
		return
	}
	for k := range w.layout {
		failed := map[string]bool{}
		for _, f := range w.attempts {
			if f.Shard == k && f.failed {
				failed[f.Target.Upstream] = true
			}
		}
		if len(failed) == len(w.layout[k].Replicas) && !w.mayAnswer(k) {
			w.t.Fatalf("all replicas of shard %d have failed, but the query continues", k)
		}
	}
}

// mayAnswer reports whether the shard has answered, has a running attempt, or
// may lie outside a snapshot's shard map.
func (w *world) mayAnswer(k int) bool {
	for _, f := range w.attempts {
		if f.Shard == k && (!f.delivered || f.answered) {
			return true
		}
	}
	for _, v := range w.versions {
		if w.spec.OneSnapshot && w.seen[v.ID] && k >= v.Shards {
			return true
		}
	}
	return false
}

func (w *world) totalOf(id string) int {
	if w.spec.SingleShard {
		return 1
	}
	if !w.spec.OneSnapshot {
		return len(w.layout)
	}
	return w.shardsOf(id)
}

func (w *world) shardsOf(id string) int {
	for _, v := range w.versions {
		if v.ID == id {
			return v.Shards
		}
	}
	return 0
}
