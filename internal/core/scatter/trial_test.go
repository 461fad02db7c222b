package scatter

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// trialPicker returns a trial target first if trial is set, and ordinary
// targets after it.
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

// TestTrialIsNotCanceled lets a hedge answer before a trial request. The query
// must finish at once, and the trial must run on and report its result to the
// Picker. An ordinary attempt is canceled.
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

// TestHedgesWaitForTheLeastDelay records latencies of 0.1 ms, far below
// MinHedgeDelay. The hedge must be due exactly after MinHedgeDelay.
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
