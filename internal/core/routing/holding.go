package routing

import "time"

// shares holds this VM's part of the limits of one upstream.
type shares struct {
	// rank is this VM's rank among the count sharing VMs. It is negative
	// without a share.
	rank, count int
	// isFallback reports whether the upstream is in this VM's fallback zone.
	isFallback bool
	// connections is the number of connections that the count VMs share.
	connections int
	// slots and coldPermits are limits over all VMs.
	slots, coldPermits int
}

func (s *shares) ownConnections() int {
	return share(s.connections, s.rank, s.count)
}

// permits returns the number of permits of all VMs together at a stage of the
// ramp.
func (s *shares) permits(stage int) int {
	return min(s.coldPermits<<stage, s.slots)
}

// ownPermits returns this VM's share of the permits at a stage of the ramp.
// Fallback VMs have none.
func (s *shares) ownPermits(stage int) int {
	if s.isFallback {
		return 0
	}
	return share(s.permits(stage), s.rank, s.count)
}

// lastStage returns the first stage at which the permits reach the slots.
func (s *shares) lastStage() int {
	stage := 0
	for s.coldPermits<<stage < s.slots {
		stage++
	}
	return stage
}

// heldShares are shares that this VM had before an input of the ranking of the
// sharing VMs other than the VM list changed. They limit this VM until the
// other VMs have changed too.
type heldShares struct {
	shares shares
	until  time.Time
}

// holdShares replaces the shares. Any increase takes effect only after until,
// and any decrease immediately. The caller holds mu.
func (u *upstream) holdShares(next shares, until time.Time) {
	u.held = append(u.held, heldShares{shares: u.shares, until: until})
	u.shares = next
}

// expireHeldShares removes held shares whose time is over and reports whether
// there were any. The caller holds mu.
func (u *upstream) expireHeldShares(now time.Time) bool {
	kept := u.held[:0]
	for _, h := range u.held {
		if now.Before(h.until) {
			kept = append(kept, h)
		}
	}
	released := len(kept) < len(u.held)
	u.held = kept
	return released
}

// ownConnections returns this VM's share of the connections. The caller holds
// mu.
func (u *upstream) ownConnections() int {
	own := u.shares.ownConnections()
	for i := range u.held {
		own = min(own, u.held[i].shares.ownConnections())
	}
	return own
}

// ownPermits returns this VM's share of the permits at a stage of the ramp. The
// caller holds mu.
func (u *upstream) ownPermits(stage int) int {
	own := u.shares.ownPermits(stage)
	for i := range u.held {
		own = min(own, u.held[i].shares.ownPermits(stage))
	}
	return own
}
