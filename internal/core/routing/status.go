package routing

import "time"

// ConnTarget sets the number of connections that this VM may have to an
// upstream.
type ConnTarget struct {
	Upstream, Address string
	// Max is this VM's share of the upstream's connections. Zero means that no
	// connection may be opened and idle ones must be closed.
	Max int
	// MinOpen is the number of connections to keep open in advance.
	MinOpen int
}

// Connections returns the targets for the connection pool, sorted by upstream
// ID. An upstream that isn't listed gets no connections.
func (r *Router) Connections(now time.Time) []ConnTarget {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	out := make([]ConnTarget, 0, len(t.ordered))
	for _, u := range t.ordered {
		out = append(out, u.connTarget())
	}
	return out
}

func (u *upstream) connTarget() ConnTarget {
	u.mu.Lock()
	defer u.mu.Unlock()
	target := ConnTarget{Upstream: u.id, Address: u.address}
	if !u.active {
		return target
	}
	target.Max = u.ownConnections()
	_, limit := u.gate.load()
	target.MinOpen = min(int(limit), max(u.spare/spareUnit, 1)+1)
	return target
}

// Status is the state of a Router for operators.
type Status struct {
	// Mature reports whether this VM uses its shares.
	Mature bool
	// ViewCurrent reports whether the control view is recent enough to send
	// requests.
	ViewCurrent bool
	// StaleRefusals counts the picks refused because of a stale control view.
	StaleRefusals uint64
	// CountedVMs is the number of VMs that share the limits, including those
	// that left the list less than a hold-down ago.
	CountedVMs int
	Upstreams  []UpstreamStatus
}

// UpstreamStatus is the state of one upstream for operators.
type UpstreamStatus struct {
	Upstream, Zone string
	// Inactive is the reason why the upstream gets no requests. It is empty if
	// the catalog permits them.
	Inactive  Cause
	Suspected bool
	Warm      bool
	Stage     int
	Running   int
	// Limit is the number of requests that this VM may run now.
	Limit int
	// Spare bounds this VM's running requests here once the shard's guaranteed
	// concurrency is used up.
	Spare int
	// Permits is this VM's share of the permits at the present stage.
	Permits int
	// Connections is this VM's share of the connections.
	Connections int
	// Lent is the number of this VM's first-stage permits that other VMs use,
	// and Borrowed the number of theirs that this VM uses.
	Lent, Borrowed int
	Latency        time.Duration
}

// Status returns the present state, with the upstreams sorted by ID. It must be
// called from the control goroutine.
func (r *Router) Status(now time.Time) Status {
	s := Status{
		Mature:        r.mature,
		ViewCurrent:   r.viewCurrent(now),
		StaleRefusals: r.staleRefusals.Load(),
		CountedVMs:    len(r.fleet.members),
	}
	t := r.table.Load()
	if t == nil {
		return s
	}
	for _, u := range t.ordered {
		s.Upstreams = append(s.Upstreams, u.status())
	}
	return s
}

func (u *upstream) status() UpstreamStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	running, limit := u.gate.load()
	return UpstreamStatus{
		Upstream:    u.id,
		Zone:        u.zone,
		Inactive:    u.inactive,
		Suspected:   u.health.suspected,
		Warm:        u.ramp.warm,
		Stage:       u.ramp.stage,
		Running:     int(running),
		Limit:       int(limit),
		Spare:       int(u.spareLimit.Load()),
		Permits:     u.ownPermits(u.ramp.stage),
		Lent:        u.loans.lent,
		Borrowed:    u.loans.borrowed,
		Connections: u.ownConnections(),
		Latency:     time.Duration(u.latency.Load()),
	}
}
