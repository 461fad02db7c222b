package customerrate

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// lateMinFill is how far a pool must be filled for a request that is late already. What
// is spared below is for requests that can still be answered in time.
const lateMinFill = 0.5

// lateThreshold is what must be free in the pool of a customer with too much demand
// before late requests get any of it.
func (l *Limiter) lateThreshold(a *account) float64 {
	return 1 + lateMinFill*max(a.burst+poolSlackFraction*l.policy.Slack-a.reserve-1, 0)
}

// Admit implements gateway.Limiter.
func (l *Limiter) Admit(now time.Time, c *routetable.Customer, late bool) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[c.Name]
	if a == nil || a.rate <= 0 {
		return true, 0
	}
	a.offered++
	l.refill(a, now)
	free := a.pool - a.reserve
	if missing := l.lateThreshold(a) - free; late && missing > 0 && a.totalDemand() > a.rate {
		return false, time.Duration(missing / a.rate * float64(time.Second))
	}
	if free < 1 {
		if ok, retryAfter := a.local.take(now); !ok {
			return false, retryAfter
		}
	}
	a.pool--
	a.admitted++
	return true, 0
}
