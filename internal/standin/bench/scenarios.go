package bench

import (
	"context"
	"errors"
	"time"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

// Durations of the phases and of their parts.
const (
	warmUpLimit    = 20 * time.Second
	warmUpStep     = time.Second
	healthyTime    = 4 * time.Second
	stragglerTime  = 8 * time.Second
	frozenTime     = 7 * time.Second
	freezeGrace    = 2 * time.Second
	settleTime     = 3 * time.Second
	steadyTime     = 4 * time.Second
	zoneOutTime    = 8 * time.Second
	zoneOutGrace   = 3 * time.Second
	zoneReturnTime = 6 * time.Second
	coldTime       = 12 * time.Second
	coldStep       = 100 * time.Millisecond
	// fullServiceFraction is the fraction of queries answered that counts as
	// full service.
	fullServiceFraction = 0.99
)

// Changes to the upstreams' policy in the phases.
const (
	noStragglers = `{"straggler_fraction":0}`
	stragglers   = `{"straggler_fraction":0.02,"straggler_factor":20}`
	startsCold   = `{"start_cold":true}`
)

// Result holds the measurements of one run of a variant.
type Result struct {
	Seed uint64 `json:"seed"`
	// WarmUpS is the time until new daemons give full service, in seconds.
	WarmUpS float64 `json:"warm_up_s"`

	Healthy Window `json:"healthy"`

	Stragglers Window `json:"stragglers"`
	// ExtraRequestRatio is the number of upstream requests beyond one for each
	// shard of an answered query, divided by those needed.
	ExtraRequestRatio float64 `json:"extra_requests"`

	// Frozen covers the queries from two seconds after the freeze on.
	Frozen Window `json:"frozen"`
	// FrozenStart covers the queries of those two seconds.
	FrozenStart Window `json:"frozen_start"`

	Steady Window `json:"steady"`
	// ZoneOut covers the queries while the zone is out of service, ZoneReturn
	// those after its return. Both start with the change of the zone's file.
	ZoneOut    Window `json:"zone_out"`
	ZoneReturn Window `json:"zone_return"`
	// ZoneRequestsOut counts the requests that the zone's upstreams received from
	// three seconds after the zone was taken out of service on.
	ZoneRequestsOut uint64 `json:"zone_late"`
	// ZoneRequestsSteady counts the requests that they received in the steady phase.
	ZoneRequestsSteady uint64 `json:"zone_before"`

	Cold Window `json:"cold"`
	// Overruns counts the requests that cold upstreams started beyond the load
	// that they can bear.
	Overruns       uint64 `json:"overruns"`
	MaxRunningCold int    `json:"max_running_cold"`
	// FullServiceS is the time from the cold restart to full service, in
	// seconds. It is -1 if full service was not reached.
	FullServiceS float64 `json:"full_service_s"`
}

// run is one run of the scenarios.
type run struct {
	cfg       *Config
	driver    *driver
	upstreams *upstreams
	result    Result
}

// ErrWarmUpTimeout reports daemons without full service within warmUpLimit.
var ErrWarmUpTimeout = errors.New("daemons did not reach full service within the warm-up limit")

// Run runs all scenarios against the daemons.
func Run(ctx context.Context, cfg *Config) (*Result, error) {
	r := &run{
		cfg:       cfg,
		driver:    newDriver(cfg),
		upstreams: &upstreams{controls: cfg.Controls},
		result:    Result{Seed: cfg.Seed},
	}
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.driver.run(ctx)
	}()
	err := r.phases()
	stop()
	<-ended
	if err != nil {
		return nil, err
	}
	return &r.result, nil
}

func (r *run) phases() error {
	for _, phase := range []func() error{
		r.warmUp, r.healthy, r.stragglers, r.frozen, r.zone, r.cold,
	} {
		if err := phase(); err != nil {
			return err
		}
	}
	return nil
}

// warmUp waits for a step with full service. It returns ErrWarmUpTimeout if there
// is none within warmUpLimit.
func (r *run) warmUp() error {
	start := time.Now()
	for time.Since(start) < warmUpLimit {
		from := time.Now()
		time.Sleep(warmUpStep)
		w := r.driver.window(from, time.Now().Add(-warmUpStep/4))
		if w.Queries > 0 && float64(w.Answered) >= fullServiceFraction*float64(w.Queries) {
			r.result.WarmUpS = from.Sub(start).Seconds()
			return nil
		}
	}
	return ErrWarmUpTimeout
}

// measure summarizes the queries that begin within the duration d from now. It
// returns after their deadline.
func (r *run) measure(d time.Duration) Window {
	from := time.Now()
	time.Sleep(d)
	to := time.Now()
	time.Sleep(time.Duration(r.cfg.Service.DeadlineMS) * time.Millisecond)
	return r.driver.window(from, to)
}

func (r *run) healthy() error {
	if err := r.upstreams.setPolicy(noStragglers); err != nil {
		return err
	}
	r.result.Healthy = r.measure(healthyTime)
	return nil
}

func (r *run) stragglers() error {
	if err := r.upstreams.setPolicy(stragglers); err != nil {
		return err
	}
	time.Sleep(settleTime)
	before, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	from := time.Now()
	time.Sleep(stragglerTime)
	to := time.Now()
	after, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(r.cfg.Service.DeadlineMS) * time.Millisecond)
	r.result.Stragglers = r.driver.window(from, to)
	needed := float64(r.result.Stragglers.Answered * r.cfg.Service.Shards)
	r.result.ExtraRequestRatio = float64(after.received-before.received)/max(needed, 1) - 1
	return r.upstreams.setPolicy(noStragglers)
}

func (r *run) frozen() error {
	time.Sleep(settleTime)
	from := time.Now()
	if err := r.commandFrozen(leaf.ActionFreeze); err != nil {
		return err
	}
	time.Sleep(freezeGrace)
	r.result.Frozen = r.measure(frozenTime)
	r.result.FrozenStart = r.driver.window(from, from.Add(freezeGrace))
	return r.commandFrozen(leaf.ActionThaw)
}

func (r *run) commandFrozen(a leaf.Action) error {
	for _, pattern := range r.cfg.Frozen {
		if err := r.upstreams.sendCommand(leaf.Command{Leaf: pattern, Action: a}); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) zone() error {
	time.Sleep(settleTime)
	before, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	r.result.Steady = r.measure(steadyTime)
	steady, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	r.result.ZoneRequestsSteady = steady.inZone - before.inZone
	out := time.Now()
	if err := r.cfg.setZone(true); err != nil {
		return err
	}
	time.Sleep(zoneOutGrace)
	grace, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	time.Sleep(zoneOutTime - zoneOutGrace)
	late, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	r.result.ZoneRequestsOut = late.inZone - grace.inZone
	back := time.Now()
	if err := r.cfg.setZone(false); err != nil {
		return err
	}
	r.result.ZoneReturn = r.measure(zoneReturnTime)
	r.result.ZoneOut = r.driver.window(out, back)
	return nil
}

func (r *run) cold() error {
	before, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	if err := r.upstreams.setPolicy(startsCold); err != nil {
		return err
	}
	start := time.Now()
	if err := r.upstreams.sendCommand(leaf.Command{Leaf: "*", Action: leaf.ActionRestart}); err != nil {
		return err
	}
	r.result.Cold = r.measure(coldTime)
	after, err := r.upstreams.totals(r.cfg.Zone)
	if err != nil {
		return err
	}
	r.result.Overruns = after.overruns - before.overruns
	r.result.MaxRunningCold = after.maxRunningCold
	r.result.FullServiceS = r.timeToFullService(start)
	return nil
}

// timeToFullService returns the time in seconds from start to the first second
// with full service, or -1.
func (r *run) timeToFullService(start time.Time) float64 {
	for at := start; at.Before(start.Add(coldTime - time.Second)); at = at.Add(coldStep) {
		w := r.driver.window(at, at.Add(time.Second))
		if w.Queries > 0 && float64(w.Answered) >= fullServiceFraction*float64(w.Queries) {
			return at.Sub(start).Seconds()
		}
	}
	return -1
}
