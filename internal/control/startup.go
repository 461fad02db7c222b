package control

import (
	"time"
)

const (
	// slotWaitTimeout is how long a settled daemon without a slot waits for one.
	// In large zones most daemons never hold a slot and borrow instead.
	slotWaitTimeout = 3 * time.Second
	// shareWaitTimeout is how long startup waits for shares of limits. A daemon that
	// can't reach the other daemons of its zone may never get any.
	shareWaitTimeout = 15 * time.Second
)

// startup is the state of a daemon whose startup is not complete. The control
// goroutine owns it.
type startup struct {
	readyAt   time.Time // first check after the disseminator was ready
	settledAt time.Time // first check with a settled quota manager and no slot
}

// checkStartup completes the startup once the daemon has its shares of upstreams
// and of limits. Without the former it can't send attempts; without the latter it
// would refuse customers that are within their rates. Startup stays complete when
// shares are lost later: the other daemons lose theirs too, so that turning callers
// away would not help them.
func (c *Control) checkStartup(now time.Time) {
	if !c.serving || c.State.StartupComplete() {
		return
	}
	if c.startup.readyAt.IsZero() {
		c.startup.readyAt = now
	}
	if !c.deps.Router.Status(now).Mature {
		return
	}
	if c.hasShares(now) || now.Sub(c.startup.readyAt) >= shareWaitTimeout {
		c.State.startupComplete.Store(true)
		c.auditSelf(now, "warm", "has its shares of upstreams and limits")
	}
}

// hasShares reports whether the daemon has a share of some limit, needs none because
// there are no customers, or may only borrow because it is settled and got no slot
// within slotWaitTimeout.
func (c *Control) hasShares(now time.Time) bool {
	st := c.deps.Quota.Status(now)
	if len(st.Customers) == 0 {
		return true
	}
	for _, customer := range st.Customers {
		if customer.Owned.Rate > 0 || customer.Borrowed.Rate > 0 {
			return true
		}
	}
	if !st.Settled || len(st.Slots) > 0 {
		return false
	}
	if c.startup.settledAt.IsZero() {
		c.startup.settledAt = now
	}
	return now.Sub(c.startup.settledAt) >= slotWaitTimeout
}
