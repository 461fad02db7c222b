package servedaemon

import (
	"time"

	"ryecourse.example/ryecourse/internal/control"
	"ryecourse.example/ryecourse/internal/core/quota"
)

// quotaLimiter implements caller.Limiter with the quota manager. It is safe for
// concurrent use.
type quotaLimiter struct {
	quota   *quota.Manager
	control *control.Control
}

// Admit implements caller.Limiter. If other VMs may have spare tokens, the request
// waits for one, for at most quota.FetchTimeout.
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
