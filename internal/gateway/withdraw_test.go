package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// quarantined is a quarantine that holds all requests if it is set.
type quarantined struct {
	Quarantine
	all bool
}

// Quarantined implements Quarantine.
func (q *quarantined) Quarantined(time.Duration, uint64) (time.Duration, bool) {
	return time.Second, q.all
}

// TestWaitingAttemptIsDecidedOnAgain guards against attempts that are written long after the
// decision on them: requests that have ended or crash upstreams by now, and extra attempts
// that reach a service beside those that the retry budget allows later.
func TestWaitingAttemptIsDecidedOnAgain(t *testing.T) {
	const short, long = 10 * time.Millisecond, 2 * budgetWait
	for name, test := range map[string]struct {
		kind    fanout.Kind
		waited  time.Duration
		tokens  int // of the retry budget
		prepare func(q *proxyRequest, hold *quarantined)
		want    Withdrawal
	}{
		"first":                 {fanout.First, long, 0, nil, ""},
		"retry at once":         {fanout.Retry, short, 0, nil, ""},
		"retry, over budget":    {fanout.Retry, long, 0, nil, WithdrawnOverBudget},
		"hedge, over budget":    {fanout.Hedge, long, 0, nil, WithdrawnOverBudget},
		"retry, within budget":  {fanout.Retry, long, 1, nil, ""},
		"request has ended":     {fanout.First, short, 0, func(q *proxyRequest, _ *quarantined) { q.writes.withdraw() }, WithdrawnUnneeded},
		"crashes upstreams now": {fanout.First, short, 0, func(_ *proxyRequest, hold *quarantined) { hold.all = true }, WithdrawnQuarantined},
		"instance has left": {fanout.First, short, 0, func(q *proxyRequest, _ *quarantined) {
			q.g.picker.Update(time.Now(), nil, nil, nil)
		}, Withdrawal(placement.Gone)},
	} {
		t.Run(name, func(t *testing.T) {
			hold := &quarantined{}
			budget := retrybudget.New(time.Now, 1, retrybudget.Limit{Burst: 1})
			for budget.Take("s") {
			}
			for range test.tokens {
				budget.AddForRequest("s")
			}
			picker := placement.NewPicker("a", rand.New(rand.NewPCG(1, 2)), nil)
			picker.Update(time.Now(), map[string][]routetable.Upstream{"s": {{ID: "u", Service: "s", Zone: "a", Slots: 1}}}, nil, nil)
			g := &Gateway{drain: newDrain(), picker: picker, quarantine: hold, retryBudget: budget, metrics: NewMetrics(metrics.NewSet())}
			q := &proxyRequest{g: g, in: &incoming{}, services: []string{"s"}, writes: writeCounts{count: make([]int, 1)}, ctx: context.Background()}
			picked, _ := picker.Pick(time.Now(), placement.Request{Service: "s"})
			if test.prepare != nil {
				test.prepare(q, hold)
			}
			got := q.beginWrite(0, test.kind, picked, time.Now().Add(-test.waited))
			if got != test.want || q.writes.any() != (got == "") {
				t.Fatalf("the attempt is withdrawn as %q, want %q; written: %v", got, test.want, q.writes.any())
			}
			if got == "" {
				return
			}
			a := upstreamhttp.Result{Err: upstreamhttp.ErrNotWritten}
			q.recordWithdrawn(&a, picked, got, test.waited)
			if !errors.Is(a.Err, upstreamhttp.ErrNotWritten) || g.metrics.withdrawnAttempts(got).Get() != 1 {
				t.Errorf("the error is %v, and %d are counted", a.Err, g.metrics.withdrawnAttempts(got).Get())
			}
		})
	}
}
