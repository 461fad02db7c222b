package gateway

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// TestStoppingVMRefusesWhatMayOutlastIt guards against requests that a stopping VM takes and
// has to cut, and against needless refusals in the time in which callers still arrive.
func TestStoppingVMRefusesWhatMayOutlastIt(t *testing.T) {
	const objective, timeout = 200 * time.Millisecond, 3 * time.Second
	for name, test := range map[string]struct {
		left       time.Duration // until running requests are ended
		idempotent bool
		caller     time.Duration // the caller's timeout; 0: none
		refused    bool
	}{
		"much time":                             {time.Minute, false, 0, false},
		"may be repeated, time for its target":  {time.Second, true, 0, false},
		"may be repeated, no time":              {100 * time.Millisecond, true, 0, true},
		"may run once, may be cut":              {time.Second, false, 0, true},
		"may run once, its caller leaves first": {time.Second, false, 500 * time.Millisecond, false},
		"after the end":                         {-time.Second, true, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{drain: newDrain(), policy: Policy{DefaultTimeout: time.Minute}}
			in := &incoming{
				started: time.Now(), route: &routetable.Route{Idempotent: test.idempotent, Objective: objective, Timeout: timeout},
				info: RequestInfo{Timeout: test.caller, HasTimeout: test.caller > 0},
			}
			if g.refuseIfTooLate(in) != nil {
				t.Error("a request is refused before the stop")
			}
			end := time.Now().Add(test.left)
			g.StartDraining(end)
			if refused := g.refuseIfTooLate(in); (refused != nil) != test.refused {
				t.Errorf("the refusal is %+v, want one: %v", refused, test.refused)
			}
			if got, _ := g.timeouts(in); in.started.Add(got).After(end) {
				t.Errorf("the request may run for %v, until after the end", got)
			}
		})
	}
}
