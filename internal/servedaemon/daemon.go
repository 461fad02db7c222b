// Package servedaemon builds a daemon of the query tier from its components and
// runs it until its context ends. `ryecourse serve` uses it.
//
// The query tier is the set of these daemons, one on each VM. They answer callers'
// queries by attempts at the replicas of a service's shards. The daemon of
// `ryecourse gateway` is in package gatewaydaemon. A view is the published catalog
// and VM list, see package control. An upstream slot is one request that an
// upstream runs at a time; the slots that a daemon hands over when it stops are
// parts of the customers' limits, see package lease. An upstream is cold while it
// warms up after a start.
package servedaemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/caller"
	"ryecourse.example/ryecourse/internal/configservice"
	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/control"
	"ryecourse.example/ryecourse/internal/core/connbudget"
	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
	"ryecourse.example/ryecourse/internal/operator"
	"ryecourse.example/ryecourse/internal/peer"
	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/internal/settings"
	"ryecourse.example/ryecourse/internal/telemetry"
	"ryecourse.example/ryecourse/internal/upstream"
)

const (
	// drainPollInterval is the time between two checks for running requests while
	// the daemon drains.
	drainPollInterval = 10 * time.Millisecond
	// listenerCloseDelay is the minimum time for which a draining daemon keeps the
	// callers' listener open and refuses new requests, so that a load balancer that
	// checks readiness stops sending before the listener closes.
	listenerCloseDelay = 500 * time.Millisecond
	// gcPercent lets the heap grow to five times the live data between two
	// collections: the live data is small compared to the garbage of queries.
	gcPercent = 400
)

// Daemon is one daemon of the query tier.
type Daemon struct {
	settings      *settings.Settings
	log           zerolog.Logger
	trail         *audit.Trail
	metrics       *telemetry.Metrics
	configService *configservice.Client
	pool          *upstream.Pool
	quota         *quota.Manager
	router        *routing.Router
	disseminator  *dissemination.Disseminator
	control       *control.Control
	planner       *planner
	callers       *caller.Server
	peers         *peer.Server
	operator      *operator.Server
	peerRefusals  refusalLimiter // of the audit entries for refused peer messages
	draining      chan struct{}  // closed when shutdown begins
	conns         *connlimit.Limiter
	// controlMemory is charged for responses of the configuration service and of other VMs.
	controlMemory *respbody.Memory
}

// Run runs a daemon until the context ends, and then shuts it down gracefully.
// Logs go to out as JSON lines.
func Run(ctx context.Context, s *settings.Settings, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB<<20) * memoryLimitFraction))
	d, err := New(s, out)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// New returns a daemon that is not running yet. Logs go to out as JSON lines.
func New(s *settings.Settings, out io.Writer) (*Daemon, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	log := zerolog.New(zerolog.SyncWriter(out)).Level(level).With().Timestamp().Str("vm", s.VM).Logger()
	controlMemory := respbody.NewMemory(int64(float64(s.Limits.MemoryMB<<20) * controlMemoryFraction))
	d := &Daemon{
		settings:      s,
		log:           log,
		trail:         audit.New(log),
		metrics:       telemetry.New(),
		controlMemory: controlMemory,
		configService: configservice.New(s.Platform, controlMemory),
		draining:      make(chan struct{}),
	}
	d.build()
	return d, nil
}

func (d *Daemon) build() {
	s := d.settings
	self := control.Self{
		Fleet:       s.Fleet,
		VM:          membership.VM{ID: s.VM, Zone: s.Zone, PeerAddress: s.PeerListen},
		Incarnation: randomUint64(),
	}
	identity := peer.Identity{Fleet: s.Fleet, Secret: s.FleetSecret, VM: s.VM, Incarnation: self.Incarnation}
	d.quota = quota.New(quota.Params{Self: self.VM, Incarnation: self.Incarnation, Started: time.Now()})
	d.disseminator = dissemination.New(dissemination.Settings{Self: self.VM, Seeds: seedPeers(s.Seeds)}, newRand())
	d.router = routing.New(self.VM, newRand(), routing.Config{})
	addresses := newAddressIndex()
	d.pool = upstream.NewPool(d.connectionLossHandler(addresses))
	d.planner = newPlanner(s.Policy, d.pool, d.router, addresses)
	d.control = control.New(control.Deps{
		Self:          self,
		ConfigService: d.configService,
		PeerClient:    peer.NewClient(identity, d.controlMemory),
		Disseminator:  d.disseminator,
		Quota:         d.quota,
		Trail:         d.trail,
		Log:           d.log,
		Router:        d.router,
		BeforePublish: d.planner.update,
	})
	d.conns = connlimit.New(connectionLimits(s.Limits), d.logPressure)
	d.callers = caller.New(caller.Deps{
		Catalogs:  &d.control.State,
		Limiter:   quotaLimiter{d.quota, d.control},
		Scheduler: newServiceSchedulers(&d.control.State),
		Planner:   d.planner,
		Pool:      d.pool,
		Metrics:   d.metrics,
		Log:       d.log,
		Memory:    d.conns,
	}, s.Limits)
	d.peers = peer.NewServer(identity, d.control.PeerHandler(), d.onPeerRefusal)
	d.operator = operator.New(d, d.trail, d.metrics)
	d.registerGauges()
}

// connectionLossHandler returns the function that notifies the router when an
// upstream has closed this VM's last connection to it. The upstream may have
// restarted, so the router treats it as cold. The function is nil with the setting
// policy.random_replica: randomPicker then chooses the replicas in place of the
// router, and doesn't track cold upstreams.
func (d *Daemon) connectionLossHandler(addresses *addressIndex) func(addr string) {
	if d.settings.Policy.RandomReplica {
		return nil
	}
	return func(addr string) {
		if id, ok := addresses.upstreamID(addr); ok {
			d.router.OnConnectionsLost(time.Now(), id)
		}
	}
}

// onPeerRefusal records a message that the peer listener refused. The metric counts
// every refusal; the audit entries are rate-limited.
func (d *Daemon) onPeerRefusal(r peer.Refusal) {
	now := time.Now()
	d.metrics.Count("peer_refused_total", 1)
	ok, suppressed := d.peerRefusals.allow(now)
	if !ok {
		return
	}
	cause := r.Reason + ": " + r.Procedure
	if suppressed > 0 {
		cause += fmt.Sprintf("; %d more were not recorded", suppressed)
	}
	d.trail.Add(audit.Entry{Time: now, Kind: "peer_refused", Subject: r.Address, Cause: cause})
}

// Run listens and serves until the context ends.
func (d *Daemon) Run(ctx context.Context) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	return d.serve(ctx, l)
}

// serve serves on the listeners until the context ends or one of them fails, and
// then shuts down gracefully.
func (d *Daemon) serve(ctx context.Context, l listeners) error {
	failed := make(chan error, 3)
	l = d.limitConnections(l)
	go func() { failed <- d.operator.Serve(l.operator) }()
	go func() { failed <- d.peers.Serve(l.peer) }()
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	go d.control.Run(controlCtx)
	go d.planner.refreshLimits(controlCtx)
	go func() { failed <- d.callers.Serve(l.caller) }()
	d.log.Info().Stringer("callers", l.caller.Addr()).Stringer("peers", l.peer.Addr()).
		Stringer("operators", l.operator.Addr()).Msg("serving")
	select {
	case err := <-failed:
		err = fmt.Errorf("a listener failed: %w", err)
		d.log.Error().Err(err).Msg("stopping")
		return errors.Join(err, d.shutdown())
	case <-ctx.Done():
		return d.shutdown()
	}
}

// shutdown refuses new requests, hands over the slots of the customers' limits and
// keeps the callers' listener open for listenerCloseDelay. It waits for running
// requests until the drain timeout, which includes that delay, ends those that are
// left, and closes the callers' listener. It then returns the borrowed shares, waits
// for the peer calls and closes the other listeners. The context of these calls ends
// listenerCloseDelay after the drain timeout, so that they have time left when
// requests have run up to it; so have the connections of each listener.
func (d *Daemon) shutdown() error {
	d.log.Info().Msg("draining")
	close(d.draining)
	d.callers.Drain()
	deadline := time.Now().Add(d.settings.Limits.DrainTimeout())
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(listenerCloseDelay))
	defer cancel()
	d.control.Call(ctx, d.control.HandOverSlots)
	time.Sleep(listenerCloseDelay)
	for d.callers.Running() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	d.callers.EndRunning()
	// Open requests have used up their time by now; connections still need some to be closed.
	callersCtx, cancelCallers := context.WithTimeout(context.Background(), max(time.Until(deadline), listenerCloseDelay))
	defer cancelCallers()
	defer d.closeRemaining(callersCtx, connbudget.Callers)()
	err := d.callers.Shutdown(callersCtx)
	d.control.Call(ctx, d.control.ReturnBorrowedShares)
	d.control.StopPeerCalls(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), listenerCloseDelay)
	defer cancelClose()
	defer d.closeRemaining(closeCtx, connbudget.VMs)()
	defer d.closeRemaining(closeCtx, connbudget.Operators)()
	err = errors.Join(err, d.peers.Shutdown(closeCtx), d.operator.Shutdown(closeCtx))
	d.pool.Close()
	d.log.Info().Msg("stopped")
	return err
}

type listeners struct{ caller, peer, operator net.Listener }

// listen opens all three listeners or none.
func (d *Daemon) listen() (listeners, error) {
	var out listeners
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{
		{d.settings.OperatorListen, &out.operator},
		{d.settings.PeerListen, &out.peer},
		{d.settings.CallerListen, &out.caller},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			out.close()
			return listeners{}, err
		}
		*l.into = ln
	}
	return out, nil
}

func (l listeners) close() {
	for _, ln := range []net.Listener{l.operator, l.peer, l.caller} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}
