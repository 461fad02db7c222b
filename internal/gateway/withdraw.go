package gateway

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// Withdrawal is why an attempt isn't written although it was placed: what decided on it has
// changed while it waited for a connection. It is empty for an attempt that may be written.
type Withdrawal string

// The reasons beside the Exclusions of package placement.
const (
	// WithdrawnUnneeded means that the request has ended, or that another VM runs it.
	WithdrawnUnneeded Withdrawal = "unneeded"
	// WithdrawnQuarantined means that the request is known to crash upstreams by now.
	WithdrawnQuarantined Withdrawal = "quarantined"
	// WithdrawnOverBudget means that an extra attempt has waited, and that the retry budget
	// has no room for it any more.
	WithdrawnOverBudget Withdrawal = "over_budget"
)

// WithdrawnError is the error of a withdrawn attempt. It wraps upstreamhttp.ErrNotWritten.
type WithdrawnError struct {
	Reason Withdrawal
	Waited time.Duration
}

// Error implements error.
func (e *WithdrawnError) Error() string {
	return fmt.Sprintf("withdrawn after a wait of %v: %s", e.Waited.Round(time.Millisecond), e.Reason)
}

// Unwrap returns upstreamhttp.ErrNotWritten.
func (e *WithdrawnError) Unwrap() error { return upstreamhttp.ErrNotWritten }

// withdrawal returns why an attempt that waits for a connection is withdrawn. It is safe for
// concurrent use.
func (q *proxyRequest) withdrawal(picked *placement.Attempt, now time.Time) Withdrawal {
	if q.writes.isWithdrawn() {
		return WithdrawnUnneeded
	}
	if _, quarantined := q.g.quarantine.Quarantined(boottime.Now(), uint64(q.in.fingerprint)); quarantined {
		return WithdrawnQuarantined
	}
	return Withdrawal(q.g.picker.Excluded(picked, now))
}

// budgetWait is how long an extra attempt may wait for a connection until it takes from the
// retry budget again. Attempts that were paid for in the past would otherwise reach a service
// together with those that are paid for now.
const budgetWait = 500 * time.Millisecond

// beginWrite decides on an attempt that has a connection since now. It returns why the attempt
// isn't written, or records that it is.
func (q *proxyRequest) beginWrite(shard int, kind fanout.Kind, picked *placement.Attempt, begun time.Time) Withdrawal {
	now := time.Now()
	if w := q.withdrawal(picked, now); w != "" {
		return w
	}
	if kind != fanout.First && now.Sub(begun) >= budgetWait && !q.g.retryBudget.Take(q.services[shard]) {
		return WithdrawnOverBudget
	}
	if e := q.g.picker.Readmit(picked, now); e != placement.Usable {
		return Withdrawal(e)
	}
	if !q.writes.begin(shard) {
		return WithdrawnUnneeded
	}
	q.g.picker.MarkSent(picked, now)
	return ""
}

// recordWithdrawn completes the result of a withdrawn attempt. reason is empty if the attempt
// was withdrawn before it had a connection.
func (q *proxyRequest) recordWithdrawn(a *upstreamhttp.Result, picked *placement.Attempt, reason Withdrawal, waited time.Duration) {
	if reason == "" {
		reason = q.withdrawal(picked, time.Now())
	}
	if reason == "" { // the pool was closed
		reason = Withdrawal(placement.Gone)
	}
	a.Err = &WithdrawnError{Reason: reason, Waited: waited}
	q.g.metrics.withdrawnAttempts(reason).Inc()
}
