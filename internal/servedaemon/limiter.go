package servedaemon

import (
	"time"

	"ryecourse.example/ryecourse/internal/control"
	"ryecourse.example/ryecourse/internal/core/quota"
)

// quotaLimiter adapts the quota manager to the callers' listener. It is safe for
// concurrent use.
type quotaLimiter struct {
	quota   *quota.Manager
	control *control.Control
}

// Admit implements caller.Limiter. While other VMs may have a token to spare the
// request waits for it, for quota.FetchPatience at most.
func (l quotaLimiter) Admit(now time.Time, customer string) (bool, time.Duration) {
	d := l.quota.Admit(now, customer)
	end := now.Add(quota.FetchTimeout)
	for !d.OK && d.ShouldFetch && now.Before(end) {
		l.control.FetchTokens()
		time.Sleep(quota.FetchRetryInterval)
		now = time.Now()
		d = l.quota.RetryAdmit(now, customer)
	}
	return d.OK, d.RetryAfter
}
