// Package gatewaydaemon runs the gateway on the users' platform: it connects
// the listeners, the follower of the metadata store and the gateway. `ryecourse
// gateway` uses it; the daemon of `ryecourse serve` is in package servedaemon.
package gatewaydaemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/connbudget"
	"ryecourse.example/ryecourse/internal/core/customerrate"
	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/core/loadshed"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/pace"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/quarantine"
	"ryecourse.example/ryecourse/internal/core/reachability"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/upstreamlimit"
	"ryecourse.example/ryecourse/internal/eventlog"
	"ryecourse.example/ryecourse/internal/fleetrpc"
	"ryecourse.example/ryecourse/internal/gateway"
	"ryecourse.example/ryecourse/internal/graceful"
	"ryecourse.example/ryecourse/internal/metadatasync"
	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/platform"
)

// Daemon is one gateway process.
type Daemon struct {
	settings   platform.Settings
	log        *eventlog.Log
	metrics    *metrics.Set
	follower   *metadatasync.Follower
	picker     *placement.Picker
	pools      *gateway.Pools
	budget     *retrybudget.Budget
	gateway    *gateway.Gateway
	limiter    *customerrate.Limiter
	limits     *upstreamlimit.Tracker
	pace       *pace.Tracker
	paceLog    paceLog
	quarantine *quarantine.Tracker
	reachable  *reachability.Tracker
	dialer     net.Dialer // of connections to upstreams
	exchanger  *fleetrpc.Exchanger
	size       atomic.Pointer[fleetrpc.Size] // numbers that limits are divided by
	sharesMu   sync.Mutex
	shares     shareCache   // guarded by sharesMu
	unshared   atomic.Int64 // upstreams to which this VM keeps no connections
	started    time.Time
	conns      *connlimit.Limiter
	control    controlMemory
	// callerListener and peerListener are set by Run.
	callerListener, peerListener *graceful.Listener
	stopping                     chan struct{}
	stopOnce                     sync.Once
}

const (
	// memoryLimitFraction is the runtime's soft memory limit as a fraction of the
	// process's limit. Near it the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// retryRatioFraction is the fraction of the users' retry ratio that a VM's
	// retry budget earns, so that the fleet stays within the ratio in the users'
	// counting windows, which differ from its own.
	retryRatioFraction = 0.85
	// retrySlackFraction is the fraction of the users' retry slack that the
	// budgets of all VMs may accumulate together. A restart of all VMs grants a
	// part of it again.
	retrySlackFraction = 0.85
	// retrySlackEarnedFraction is the fraction of the users' retry slack that the VMs of
	// a large fleet earn with time in each of the users' counting windows, out of
	// retrySlackFraction.
	retrySlackEarnedFraction = 0.4
	// expectedVMs is the fleet size that is assumed until it is known.
	expectedVMs = 16
	// sizeSettleTime is the time after the start in which a VM may not have
	// discovered all others.
	sizeSettleTime = 3 * time.Second
	// minVMs is the smallest fleet size that limits are divided by, since a VM
	// that sees few others may be partitioned from the rest of the fleet.
	minVMs = 4
	// firstStartRead is how long the VMs of a fleet that starts for the first time
	// wait to find each other before they read the metadata store, and
	// firstStartSourceRead how long those that read from others wait for these.
	firstStartRead       = 1200 * time.Millisecond
	firstStartSourceRead = 4 * time.Second
	// startConfirmTimeout is how long a VM that starts looks for another one that confirms its
	// configuration. Calls to the seeds return within milliseconds.
	startConfirmTimeout = 600 * time.Millisecond
	// leavingGraceFraction is the part of the users' bound on drains in which the last
	// replica of a shard gets requests although it leaves. The rest is for requests on
	// their way to it.
	leavingGraceFraction = 0.5
	// spareVMs is the number of VMs that may join before this VM discovers them.
	spareVMs = 3
)

// New returns a daemon. Logs are written to out.
func New(s platform.Settings, out io.Writer) *Daemon {
	d := &Daemon{
		settings: s, metrics: metrics.NewSet(), started: time.Now(), stopping: make(chan struct{}),
		dialer: upstreamDialer(),
		log:    eventlog.New(out, s.VM),
	}
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.limits = upstreamlimit.NewTracker(upstreamlimit.DefaultPolicy(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), d.logLimit)
	d.quarantine = quarantine.NewTracker(quarantine.DefaultPolicy(), d.logQuarantine)
	d.reachable = reachability.NewTracker(reachability.DefaultPolicy(), d.started, d.logReachability)
	d.picker = placement.NewPicker(s.Zone, r, d.limits)
	d.picker.SetLeavingGrace(time.Duration(float64(s.Bounds.Drain) * leavingGraceFraction))
	d.conns = connlimit.New(connectionLimits(s), d.logPressure)
	d.control = newControlMemory(s.MemoryMB)
	d.pools = gateway.NewPools(d.dialUpstream, platform.Headers{}, respbody.NewSharedMemory(d.conns))
	d.budget = retrybudget.New(time.Now, s.Bounds.RetryRatio*retryRatioFraction, d.budgetLimit(fleetrpc.Size{VMs: expectedVMs}, true))
	rates := customerrate.DefaultPolicy()
	rates.Slack = s.Bounds.QuotaSlack
	d.limiter = customerrate.NewLimiter(rates)
	d.size.Store(&fleetrpc.Size{VMs: expectedVMs})
	d.exchanger = fleetrpc.New(fleet.Report{
		Address: s.PeerAddr.String(), Zone: s.Zone, Incarnation: rand.Uint64(), CPUShare: s.CPUShare,
	}, seedAddresses(s), d.control.peers, d.limiter, d.limits, d.quarantine, d.log, d.resize)
	if s.Pace {
		d.initPace()
	}
	store := platform.NewStore(s.StoreAddr.String(), storeClient(), d.control.all)
	syncPolicy := metadatasync.DefaultPolicy()
	if s.FirstStart {
		syncPolicy.FirstRead, syncPolicy.FirstSourceRead = firstStartRead, firstStartSourceRead
	} else if slices.ContainsFunc(seedAddresses(s), func(a string) bool { return a != s.PeerAddr.String() }) {
		syncPolicy.ConfirmTimeout = startConfirmTimeout
	}
	d.follower = metadatasync.NewFollower(store, d.exchanger, syncPolicy, platform.ErrHistoryGone, d.log, d.applyView)
	d.exchanger.SetChangeSource(d.follower)
	d.gateway = gateway.New(gateway.Dependencies{
		Policy: gatewayPolicy(s), Headers: platform.Headers{}, Metadata: d.follower,
		Limiter: d.limiter, Limits: d.limits, Quarantine: spreadingQuarantine{d.quarantine, d.exchanger}, Executors: d.exchanger, Reachability: d.reachable, Picker: d.picker,
		Shedder: loadshed.New(d.picker, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), Budget: d.budget, Pools: d.pools, Log: d.log, Connections: d.conns,
		Metrics: gateway.NewMetrics(d.metrics), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d.exchanger.SetQueryRunner(d.gateway)
	return d
}

func seedAddresses(s platform.Settings) []string {
	var out []string
	for _, a := range s.Seeds {
		out = append(out, a.String())
	}
	return out
}

const (
	// revocationFraction is the fraction of the users' revocation bound that is
	// the metadata age above which keys are refused. The rest is for the transit
	// of a request to this VM.
	revocationFraction = 0.9
	// defaultTimeout applies to requests without a timeout. It is the longest
	// timeout of the users' routes.
	defaultTimeout = 5 * time.Second
	// callerOverhead covers three transits of 3 ms between a caller and its zone,
	// for a new connection, and the processing on this VM.
	callerOverhead = 12 * time.Millisecond
	// responseMargin covers one transit to the caller and the processing on this
	// VM under load.
	responseMargin = 20 * time.Millisecond
	// linger is half of the time for which upstreams may continue to work after
	// their caller has disconnected.
	linger = 250 * time.Millisecond
)

func gatewayPolicy(s platform.Settings) gateway.Policy {
	return gateway.Policy{
		MaxKeyStaleness: time.Duration(float64(s.Bounds.KeyRevocation) * revocationFraction),
		DefaultTimeout:  defaultTimeout,
		CallerOverhead:  callerOverhead,
		ResponseMargin:  responseMargin,
		Linger:          linger,
	}
}

// resize adapts the limits to the number of VMs.
func (d *Daemon) resize(size fleetrpc.Size) {
	if time.Since(d.started) < sizeSettleTime {
		size.VMs = max(size.VMs, expectedVMs)
	}
	size.VMs = max(size.VMs, minVMs)
	d.pools.CloseTemporary()
	if d.pace != nil {
		d.pace.SetVMs(size.VMs)
	}
	if size == *d.size.Swap(&size) {
		return
	}
	d.budget.SetLimit(d.budgetLimit(size, true))
	if v := d.follower.View(); v != nil {
		d.share(v)
		d.log.Event("connection_shares").Int("vms", size.VMs).Int("executors", size.Executors).Bool("is_executor", size.IsExecutor).
			Int("upstreams", len(instances(v))).Int64("without_share", d.unshared.Load()).Send()
	}
}

// applyView activates a new view in all components.
func (d *Daemon) applyView(v *metadata.View) {
	d.limiter.Update(time.Now(), v.Table.Config.Customers)
	d.gateway.Update(v.Table)
	d.picker.Update(time.Now(), v.Upstreams, v.Evacuated, d.coldRate(v))
	d.share(v)
	d.limits.Retain(instances(v))
	if d.pace != nil {
		d.pace.Retain(instances(v))
	}
	d.reachable.SetInstances(len(gateway.UsableInstances(v)))
}

// instances returns the IDs of all instances of a view.
func instances(v *metadata.View) map[string]bool {
	out := map[string]bool{}
	for _, list := range v.Upstreams {
		for _, u := range list {
			out[u.ID] = true
		}
	}
	return out
}

// logLimit logs a change of an upstream's limit or of the admitted fraction.
func (d *Daemon) logLimit(c upstreamlimit.Change) {
	e := d.log.Event("upstream_limit").Str("upstream", c.Instance).Bool("limited", c.Limited).Dur("age_ms", c.Age)
	if c.Limited {
		e.Float64("per_second", c.PerSecond).Float64("demand", c.Demand).
			Float64("fleet_demand", c.FleetDemand).Float64("admitted_fraction", c.Fraction)
	}
	if c.Peer != "" {
		e.Str("peer", c.Peer)
	}
	e.Send()
}

// spreadingQuarantine is a quarantine whose crashes other VMs learn of at once.
type spreadingQuarantine struct {
	*quarantine.Tracker
	exchanger *fleetrpc.Exchanger
}

// AddCrash implements gateway.Quarantine.
func (s spreadingQuarantine) AddCrash(now time.Duration, fingerprint, instance uint64) {
	s.Tracker.AddCrash(now, fingerprint, instance)
	s.exchanger.SpreadSuspects()
}

// logQuarantine logs the begin or end of a quarantine.
func (d *Daemon) logQuarantine(c quarantine.Change) {
	e := d.log.Event("quarantine").Str("fingerprint", fmt.Sprintf("%016x", c.Fingerprint)).Bool("quarantined", c.Quarantined)
	if c.Quarantined {
		e.Int("crashes", c.Crashes).Dur("remaining_ms", c.Remaining)
	}
	e.Send()
}

// Run serves until SIGTERM.
func (d *Daemon) Run(ctx context.Context) error {
	// A signal without a handler ends the process, whatever requests it has accepted.
	signals := notifySignals()
	defer signals.close()
	runtime.GOMAXPROCS(max(d.settings.Cores, 1))
	debug.SetMemoryLimit(int64(float64(d.settings.MemoryMB<<20) * memoryLimitFraction))
	d.log.Event("start").Str("zone", d.settings.Zone).
		Bool("first_start", d.settings.FirstStart).Int("pid", os.Getpid()).Send()
	defer d.closeLog()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.follower.Run(ctx)
	go d.exchanger.Run(ctx)
	go d.trackReachability(ctx)
	callers, peers := d.callerServer(), d.peerServer()
	errs := make(chan error, 4)
	var err error
	if d.peerListener, err = d.listenGracefully(d.settings.PeerAddr.String(), connbudget.VMs, peers, errs); err != nil {
		return err
	}
	if d.callerListener, err = d.listenGracefully(d.settings.CallerAddr.String(), connbudget.Callers, callers, errs); err != nil {
		return err
	}
	// Readiness is served last, as callers may be routed to the VM from then on.
	if err := d.listen(d.settings.ReadinessAddr.String(), connbudget.HealthChecks, controlServer(d.readiness()), errs); err != nil {
		return err
	}
	if err := d.listen(d.metricsAddress(), connbudget.Operators, d.metricsServer(), errs); err != nil {
		d.log.Warning("metrics_unavailable").Str("error", err.Error()).Send()
	}
	return d.waitForShutdown(callers, peers, signals, errs)
}

func (d *Daemon) closeLog() {
	if err := d.log.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "write the last log lines:", err)
	}
}
