package scatter

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// trialPicker gives a trial first and an ordinary replica after it.
type trialPicker struct {
	trial bool
	picks int
	done  []Outcome
}

func (p *trialPicker) Pick(time.Time, string, int, []string) (Target, bool) {
	p.picks++
	return Target{Upstream: string(rune('a' + p.picks)), Trial: p.trial && p.picks == 1}, true
}

func (p *trialPicker) Done(_ time.Time, _ string, _ int, _ Target, r Report) {
	p.done = append(p.done, r.Outcome)
}

// TestTrialIsNotCanceled lets a hedge win over a trial. The query ends at once,
// the trial runs on, and its answer reaches the picker. An ordinary attempt is
// canceled.
func TestTrialIsNotCanceled(t *testing.T) {
	for _, trial := range []bool{true, false} {
		now := time.Unix(0, 0)
		p := &trialPicker{trial: trial}
		q := New(Spec{
			Service: "svc", Layout: []catalog.Shard{{Replicas: make([]catalog.Upstream, 2)}},
			Deadline: now.Add(time.Second), Idempotent: true, MinCoverage: 1,
		}, Shared{Picker: p, Budgets: NewBudgets(), Policy: DefaultPolicy()})
		q.Start(now)
		at, _ := q.NextTimer()
		q.OnTimer(at) // sends the hedge
		answer := Result{Verdict: verdict.Ran, Report: Report{Outcome: OutcomeAnswered}, Body: []byte("{}")}
		answer.Attempt = 1
		canceled, finished := 0, 0
		for _, a := range q.OnResult(at, answer) {
			switch a.(type) {
			case *Cancel:
				canceled++
			case *Finish:
				finished++
			}
		}
		if finished != 1 || (canceled == 0) != trial {
			t.Fatalf("trial %t: %d canceled, %d finished", trial, canceled, finished)
		}
		answer.Attempt = 0
		q.OnResult(at, answer)
		if len(p.done) != 2 || p.done[1] != OutcomeAnswered || q.Pending() != 0 {
			t.Fatalf("trial %t: outcomes %v, %d pending", trial, p.done, q.Pending())
		}
	}
}

// TestHedgesWaitForTheLeastDelay records answers of a tenth of a millisecond: the
// hedge is due after MinHedgeDelay and not before.
func TestHedgesWaitForTheLeastDelay(t *testing.T) {
	latency := NewLatency(1)
	for range 10 * minSamples {
		latency.Record(0, 100*time.Microsecond)
	}
	now := time.Unix(0, 0)
	policy := DefaultPolicy()
	q := New(Spec{
		Service: "svc", Layout: []catalog.Shard{{Replicas: make([]catalog.Upstream, 2)}},
		Deadline: now.Add(time.Second), Idempotent: true, MinCoverage: 1,
	}, Shared{Picker: &trialPicker{}, Budgets: NewBudgets(), Latency: latency, Policy: policy})
	q.Start(now)
	if at, _ := q.NextTimer(); at.Sub(now) != policy.MinHedgeDelay {
		t.Fatalf("due after %s, not %s", at.Sub(now), policy.MinHedgeDelay)
	}
}
