package leaf

import (
	"time"

	"github.com/valyala/fasthttp"
)

// maxSamples is the maximum number of states kept for delayed reports.
const maxSamples = 600

// reportedState is what /health and /load report.
type reportedState struct {
	at       time.Time
	running  int
	queued   int
	slots    int
	state    string
	instance string
}

type healthResponse struct {
	State    string `json:"state"`
	Instance string `json:"instance"`
}

type loadResponse struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

func (inc *incarnation) serveHealth(ctx *fasthttp.RequestCtx) {
	h := inc.leaf.report(inc, time.Now())
	writeJSON(ctx, healthResponse{State: h.state, Instance: h.instance})
}

func (inc *incarnation) serveLoad(ctx *fasthttp.RequestCtx) {
	h := inc.leaf.report(inc, time.Now())
	writeJSON(ctx, loadResponse{Running: h.running, Queued: h.queued, Slots: h.slots})
}

// report returns the state that the leaf reports now. Depending on the policy it
// is outdated or always idle.
func (l *Leaf) report(inc *incarnation, now time.Time) reportedState {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.currentState(inc, now)
	if l.policy.ReportIdle {
		return reportedState{slots: current.slots, state: "ok", instance: current.instance}
	}
	asOf := now.Add(-time.Duration(l.policy.ReportLagMS) * time.Millisecond)
	if l.policy.ReportLagMS <= 0 || len(l.samples) == 0 {
		return current
	}
	for i := len(l.samples) - 1; i > 0; i-- {
		if !l.samples[i].at.After(asOf) {
			return l.samples[i]
		}
	}
	return l.samples[0]
}

// currentState returns the state now, in which the policy may hide that the leaf
// is cold. The leaf's lock is held.
func (l *Leaf) currentState(inc *incarnation, now time.Time) reportedState {
	h := reportedState{
		at:       now,
		running:  inc.running,
		queued:   len(inc.queue),
		slots:    l.policy.Slots,
		state:    "ok",
		instance: inc.id,
	}
	switch {
	case inc.draining:
		h.state = "draining"
	case inc.isCold(now) && !l.policy.HideCold:
		h.state = "cold"
	}
	return h
}

// Sample records the state for delayed reports. It is called at a fixed interval.
func (l *Leaf) Sample(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.policy.ReportLagMS <= 0 || l.current == nil {
		l.samples = nil
		return
	}
	l.samples = append(l.samples, l.currentState(l.current, now))
	if len(l.samples) > maxSamples {
		l.samples = l.samples[1:]
	}
}
