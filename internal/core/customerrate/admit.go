package customerrate

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// lateMinFill is the fraction of a pool, above its reserve, that must be filled
// before a late request may draw on it. The tokens below are left for requests that
// can still be answered in time.
const lateMinFill = 0.5

// lateThreshold is the number of tokens that must be free in the pool before
// late requests of a customer whose demand exceeds its rate are admitted.
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
	return l.admit(now, a, late)
}

// Allowance is what a customer may send now.
type Allowance struct {
	// Admits is set if the next request would be admitted; otherwise RetryAfter is how
	// long it should wait.
	Admits     bool
	RetryAfter time.Duration
	// PoolLeft and OwnLeft are the tokens that this VM may draw on, in requests: of the
	// pool of all VMs, above its reserve, and of its own bucket.
	PoolLeft, OwnLeft float64
}

// Peek returns what Admit would decide about a customer's next request, and takes no
// token. limited is false if the customer has no rate.
func (l *Limiter) Peek(now time.Time, customer string, late bool) (a Allowance, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acc := l.accounts[customer]
	if acc == nil || acc.rate <= 0 {
		return Allowance{Admits: true}, false
	}
	shadow := *acc // its maps are only read
	l.refill(&shadow, now)
	shadow.ownBucket.refill(now)
	a.PoolLeft, a.OwnLeft = max(shadow.pool-shadow.reserve, 0), max(shadow.ownBucket.tokens, 0)
	a.Admits, a.RetryAfter = l.admit(now, &shadow, late)
	return a, true
}

// admit takes a token of an account. The caller holds mu.
func (l *Limiter) admit(now time.Time, a *account, late bool) (bool, time.Duration) {
	a.offered++
	l.refill(a, now)
	free := a.pool - a.reserve
	if missing := l.lateThreshold(a) - free; late && missing > 0 && a.totalDemand() > a.rate {
		return false, time.Duration(missing / a.rate * float64(time.Second))
	}
	if free < 1 {
		if ok, retryAfter := a.ownBucket.take(now); !ok {
			return false, retryAfter
		}
	} else if ok, retryAfter := l.takePoolDraw(a, now); !ok {
		return false, retryAfter
	}
	a.pool--
	a.admitted++
	return true, 0
}

// takePoolDraw takes one of the draws on the pool that this VM is allowed, or else a
// token of its own bucket. When a customer's demand rises on all VMs of a large fleet
// at once, each of them sees a full pool until the reports of the others arrive.
func (l *Limiter) takePoolDraw(a *account, now time.Time) (bool, time.Duration) {
	if !l.fleetIsLarge() {
		return true, 0
	}
	drawn, untilDraw := a.poolDraws.take(now)
	if drawn {
		return true, 0
	}
	ok, untilOwn := a.ownBucket.take(now)
	return ok, min(untilDraw, untilOwn)
}
