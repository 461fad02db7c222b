package control

import (
	"time"
)

const (
	// slotWaitTimeout is how long a settled daemon without a slot waits for one. In
	// large zones most daemons never hold one and borrow.
	slotWaitTimeout = 3 * time.Second
	// shareWaitTimeout bounds the wait for shares of limits. A daemon that can't
	// reach its zone mates may wait for them in vain.
	shareWaitTimeout = 15 * time.Second
)

// startup is the state of a daemon that has not served yet. It belongs to the
// control goroutine.
type startup struct {
	readyAt   time.Time // when it had a configuration it could trust
	settledAt time.Time // when it was first seen settled in quota
}

// checkStartup looks whether the daemon has its shares of upstreams and of limits.
// Without the former it can send nothing, without the latter it would refuse
// customers that are within their rates. Once warm it stays so: what it loses
// later is no reason to turn callers away, since the others lose it too.
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

// hasShares tells whether the daemon has a part of some limit, or may borrow one
// because others hold all slots.
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
