package scatter

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/proptest"
)

// naive is a Query with one mechanism disabled or altered.
type naive struct {
	*Query
	spec   func(Spec) Spec
	result func(*Query, Result) (Result, bool)
	action func(*Query, Action) bool
}

func (n *naive) Reset(s Spec) {
	if n.spec != nil {
		s = n.spec(s)
	}
	n.Query.Reset(s)
}

func (n *naive) filter(actions []Action) []Action {
	if n.action == nil {
		return actions
	}
	var kept []Action
	for _, a := range actions {
		if n.action(n.Query, a) {
			kept = append(kept, a)
		}
	}
	return kept
}

func (n *naive) Start(now time.Time) []Action {
	return n.filter(n.Query.Start(now))
}

func (n *naive) OnTimer(now time.Time) []Action {
	return n.filter(n.Query.OnTimer(now))
}

func (n *naive) OnResult(now time.Time, r Result) []Action {
	if n.result != nil {
		changed, ok := n.result(n.Query, r)
		if !ok {
			return nil
		}
		r = changed
	}
	return n.filter(n.Query.OnResult(now, r))
}

type naiveCase struct {
	name string
	// wantFailure is a substring of the oracle's failure message.
	wantFailure string
	build       func(Shared) engine
}

var naiveCases = []naiveCase{
	{"merges snapshots", "answered with the body", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), result: asFirstSnapshot}
	}},
	{"counts the catalog's shards", "named as missing", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), action: dropBeyondLayout}
	}},
	{"uses the catalog's shard map", "neither answered", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), result: asCatalogMap}
	}},
	{"repeats what is not idempotent", "ran twice", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), spec: asIdempotent}
	}},
	{"reports not run after a lost connection", "said not to have run", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), result: notRunAfterLoss}
	}},
	{"reports not run while attempts run", "verdict", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), action: notRunAtEnd}
	}},
	{"hedges without a budget", "hedges, budget", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), action: refillHedges}
	}},
	{"retries without a budget", "repeated requests, budget", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), action: refillRetries}
	}},
	{"ignores results of canceled attempts", "pending at the end", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), result: dropCanceled}
	}},
	{"ends a reservation at the cancel and at the result", "ended twice", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), action: endAtCancel}
	}},
	{"withholds the answer until the deadline", "no timer", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), action: withholdAnswer}
	}},
	{"runs past the deadline", "deadline", func(s Shared) engine {
		return &naive{Query: New(Spec{}, s), spec: laterDeadline}
	}},
}

// TestWorldRejectsNaiveQueries disables one mechanism at a time and requires
// the oracle to fail.
func TestWorldRejectsNaiveQueries(t *testing.T) {
	for _, c := range naiveCases {
		t.Run(c.name, func(t *testing.T) {
			failure := proptest.FirstFailure(func(t *rapid.T) { checkWorld(t, c.build) })
			if !strings.Contains(failure, c.wantFailure) {
				t.Fatalf("the oracle reports %q, want a failure with %q", failure, c.wantFailure)
			}
		})
	}
}

func asFirstSnapshot(q *Query, r Result) (Result, bool) {
	if r.Report.Outcome == OutcomeAnswered && q.spec.OneSnapshot && len(q.snapshots) > 0 {
		r.Snapshot = q.snapshots[0].info
	}
	return r, true
}

func asCatalogMap(q *Query, r Result) (Result, bool) {
	r.Snapshot.Shards = min(r.Snapshot.Shards, len(q.spec.Layout))
	return r, true
}

func dropBeyondLayout(q *Query, a Action) bool {
	f, ok := a.(*Finish)
	if !ok || f.Answer == nil {
		return true
	}
	kept := f.Answer.Missing[:0]
	for _, k := range f.Answer.Missing {
		if k < len(q.spec.Layout) {
			kept = append(kept, k)
		}
	}
	f.Answer.Missing = kept
	return true
}

func asIdempotent(s Spec) Spec {
	s.Idempotent = true
	return s
}

func laterDeadline(s Spec) Spec {
	s.Deadline = s.Deadline.Add(time.Millisecond)
	return s
}

func notRunAfterLoss(_ *Query, r Result) (Result, bool) {
	if r.Report.Outcome == OutcomeConnectionLost {
		r.Verdict = verdict.NotRun
	}
	return r, true
}

func notRunAtEnd(_ *Query, a Action) bool {
	if f, ok := a.(*Finish); ok && f.Refusal != nil && f.Refusal.Verdict == verdict.MayHaveRun {
		f.Refusal = f.Refusal.WithVerdict(verdict.NotRun)
	}
	return true
}

func refillHedges(q *Query, _ Action) bool {
	q.shared.Budgets.hedge.tokens.Store(HedgeBurst * tokenUnit)
	return true
}

func refillRetries(q *Query, _ Action) bool {
	q.shared.Budgets.retry.tokens.Store(RetryBurst * tokenUnit)
	return true
}

func dropCanceled(_ *Query, r Result) (Result, bool) {
	return r, r.Report.Outcome != OutcomeCanceled
}

func endAtCancel(q *Query, a Action) bool {
	if c, ok := a.(*Cancel); ok {
		attempt := &q.attempts[c.Attempt-q.firstID]
		q.shared.Picker.Done(epoch, q.spec.Service, attempt.shard, attempt.target, Report{Outcome: OutcomeCanceled})
	}
	return true
}

func withholdAnswer(_ *Query, a Action) bool {
	f, ok := a.(*Finish)
	return !ok || f.Answer == nil
}
