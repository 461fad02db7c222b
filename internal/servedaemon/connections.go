package servedaemon

import (
	"context"
	"time"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/connbudget"
	"ryecourse.example/ryecourse/internal/operator"
	"ryecourse.example/ryecourse/internal/peer"
	"ryecourse.example/ryecourse/internal/settings"
)

const (
	// memoryLimitFraction is the runtime's soft memory limit as a fraction of the daemon's
	// memory. Near it the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// connectionMemoryFraction is the fraction of the daemon's memory that accepted connections
	// may hold together, socket buffers included.
	connectionMemoryFraction = 0.4
	// controlMemoryFraction is the fraction of the daemon's memory that responses of the
	// configuration service and of other VMs may hold together while they are read.
	controlMemoryFraction = 0.25
)

// connectionLimits returns the limits on accepted connections.
func connectionLimits(l settings.Limits) connbudget.Limits {
	return connlimit.Limits(int64(float64(l.MemoryMB<<20)*connectionMemoryFraction), [connbudget.Classes]int{
		connbudget.Callers: l.MaxConnections, connbudget.VMs: peer.MaxConnections, connbudget.Operators: operator.MaxConnections,
	})
}

// limitConnections wraps the listeners.
func (d *Daemon) limitConnections(l listeners) listeners {
	return listeners{
		caller:   d.conns.Listen(l.caller, connbudget.Callers),
		peer:     d.conns.Listen(l.peer, connbudget.VMs),
		operator: d.conns.Listen(l.operator, connbudget.Operators),
	}
}

// closeMargin is the time before the end of a listener's shutdown in which connections are
// closed whose clients keep the end of a request back, or never read an answer.
const closeMargin = 150 * time.Millisecond

// closeRemaining closes the connections of a class before the end of ctx.
func (d *Daemon) closeRemaining(ctx context.Context, class connbudget.Class) (cancel func() bool) {
	end, ok := ctx.Deadline()
	if !ok {
		return func() bool { return false }
	}
	return time.AfterFunc(time.Until(end)-closeMargin, func() { d.conns.CloseAll(class) }).Stop
}

// logPressure logs that connections were evicted or refused.
func (d *Daemon) logPressure(u connbudget.Usage) {
	e := d.log.Warn().Int64("bytes", u.Bytes).Int64("denied", u.Denied)
	for class, n := range u.Conns {
		e.Int(connbudget.Class(class).String(), n)
	}
	for phase, n := range u.Evicted {
		e.Int64(connbudget.Phase(phase).EvictedField(), n)
	}
	e.Msg("connection pressure")
}

// registerConnectionGauges registers what accepted connections hold.
func (d *Daemon) registerConnectionGauges() {
	gauge := func(name string, f func(u connbudget.Usage) float64) {
		d.metrics.Gauge(name, func() float64 { return f(d.conns.Usage()) })
	}
	gauge("connection_memory_bytes", func(u connbudget.Usage) float64 { return float64(u.Bytes) })
	gauge("connection_charges_denied_total", func(u connbudget.Usage) float64 { return float64(u.Denied) })
	for i := range connbudget.Classes {
		class := connbudget.Class(i).String()
		gauge("connections_"+class, func(u connbudget.Usage) float64 { return float64(u.Conns[i]) })
		gauge("connections_rejected_"+class+"_total", func(u connbudget.Usage) float64 { return float64(u.Rejected[i]) })
	}
	for i := range connbudget.Phases {
		gauge("connections_evicted_"+connbudget.Phase(i).String()+"_total", func(u connbudget.Usage) float64 { return float64(u.Evicted[i]) })
	}
}
