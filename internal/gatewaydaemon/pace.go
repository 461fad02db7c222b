package gatewaydaemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/pace"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// initPace connects the pace of returning upstreams with the picker and the reports.
func (d *Daemon) initPace() {
	d.pace = pace.NewTracker(pace.DefaultPolicy(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), d.started, d.logPace)
	d.pace.SetVMs(expectedVMs)
	d.picker.SetPace(d.pace)
	d.exchanger.SetPaces(d.pace)
}

const (
	// paceLogBurst and paceLogPerSecond bound the log lines about paces, as all upstreams
	// of a zone may return together.
	paceLogBurst     = 50
	paceLogPerSecond = 2
)

// paceLog limits the log lines about paces.
type paceLog struct {
	mu      sync.Mutex
	tokens  float64
	at      time.Time
	omitted int
}

// take reports whether a line may be written, and how many were omitted before it.
func (l *paceLog) take(now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() {
		l.tokens = paceLogBurst
	} else {
		l.tokens = min(l.tokens+now.Sub(l.at).Seconds()*paceLogPerSecond, paceLogBurst)
	}
	l.at = now
	if l.tokens < 1 {
		l.omitted++
		return false, 0
	}
	l.tokens--
	omitted, l.omitted = l.omitted, 0
	return true, omitted
}

// logPace logs a change of an upstream's pace.
func (d *Daemon) logPace(c pace.Change) {
	ok, omitted := d.paceLog.take(time.Now())
	if !ok {
		return
	}
	e := d.log.Event("upstream_pace").Str("upstream", c.Instance).Str("reason", string(c.Reason)).
		Int("level", c.Stage.Level).Float64("fraction", c.Fraction).Int("generation", c.Stage.Generation).
		Float64("per_second", c.PerSecond)
	if c.Stage.Ceiling > 0 {
		e.Int("ceiling", c.Stage.Ceiling)
	}
	if c.Peer != "" {
		e.Str("peer", c.Peer)
	}
	if omitted > 0 {
		e.Int("omitted", omitted)
	}
	e.Send()
}

func (d *Daemon) registerPaceMetrics() {
	if d.pace == nil {
		return
	}
	d.metrics.NewGauge("ryecourse_gateway_returning_upstreams", func() float64 { return float64(d.pace.Totals().Returning) })
	for name, get := range map[string]func(pace.Totals) uint64{
		"begun":    func(t pace.Totals) uint64 { return t.Begun },
		"raised":   func(t pace.Totals) uint64 { return t.Raised },
		"lowered":  func(t pace.Totals) uint64 { return t.Lowered },
		"finished": func(t pace.Totals) uint64 { return t.Finished },
	} {
		d.metrics.NewGauge(`ryecourse_gateway_upstream_paces_total{change="`+name+`"}`, func() float64 { return float64(get(d.pace.Totals())) })
	}
	d.metrics.NewGauge(`ryecourse_gateway_returning_attempts_total{admitted="true"}`, func() float64 { return float64(d.pace.Totals().Admitted) })
	d.metrics.NewGauge(`ryecourse_gateway_returning_attempts_total{admitted="false"}`, func() float64 { return float64(d.pace.Totals().HeldBack) })
}

// coldLimitFraction is the fraction of a cold upstream's limit that the fleet
// uses, as VMs may differ in the members that they have discovered.
const coldLimitFraction = 0.8

// coldRate returns this VM's rate limit for cold upstreams whose service has a
// limit.
func (d *Daemon) coldRate(v *metadata.View) placement.ColdRate {
	b := d.settings.Bounds
	return func(u routetable.Upstream) (float64, bool) {
		s := v.Table.Service(u.Service)
		if s == nil || s.WarmupPerSecond <= 0 {
			return 0, false
		}
		limit := (s.WarmupPerSecond*b.WarmupOverage + b.WarmupSlack) * coldLimitFraction
		return placement.ColdShare(limit, d.size.Load().VMs, d.exchanger.Rank(u.ID)), true
	}
}
