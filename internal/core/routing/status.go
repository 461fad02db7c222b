package routing

import "time"

// ConnTarget says how many connections this VM may hold to an upstream.
type ConnTarget struct {
	Upstream, Address string
	// Max is this VM's share of the upstream's connections. Zero: open none and
	// close those that are idle.
	Max int
	// Warm is the number to keep open ahead of need.
	Warm int
}

// Connections returns the targets of the connection pool, in order of the
// upstreams' IDs. Upstreams that are not named get no connection.
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
	target.Warm = min(int(limit), max(u.spare/spareUnit, 1)+1)
	return target
}

// Status is what an operator sees of a Router.
type Status struct {
	// Mature tells whether this VM's shares are in force.
	Mature bool
	// ViewCurrent tells whether the control view is new enough to dispatch.
	ViewCurrent bool
	// StaleRefusals counts the picks refused because of an old view.
	StaleRefusals uint64
	// CountedVMs is the number of VMs that share the limits, those that left
	// less than a hold-down ago included.
	CountedVMs int
	Upstreams  []UpstreamStatus
}

// UpstreamStatus is what an operator sees of one upstream.
type UpstreamStatus struct {
	Upstream, Zone string
	// Inactive says why the upstream gets no work. Empty means that it may.
	Inactive  Cause
	Suspected bool
	Warm      bool
	Stage     int
	Running   int
	// Limit is the number of requests that this VM may run now.
	Limit int
	// Spare is the number of requests that may run beyond what the shard
	// assures.
	Spare int
	// Permits is this VM's share of the permits at the present stage.
	Permits int
	// Connections is this VM's share of the connections.
	Connections int
	// Lent and Borrowed are permits of the first stage that other VMs use, and
	// that this VM uses of others.
	Lent, Borrowed int
	Latency        time.Duration
}

// Status returns the present state, in order of the upstreams' IDs. It belongs
// to the control goroutine.
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
