package leaf

import (
	"time"

	"github.com/valyala/fasthttp"
)

// maxSamples bounds the history for lagging hints.
const maxSamples = 600

// hint is what /health and /load tell.
type hint struct {
	at       time.Time
	running  int
	queued   int
	slots    int
	state    string
	instance string
}

type healthAnswer struct {
	State    string `json:"state"`
	Instance string `json:"instance"`
}

type loadAnswer struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

func (inc *incarnation) serveHealth(ctx *fasthttp.RequestCtx) {
	h := inc.leaf.hint(inc, time.Now())
	writeJSON(ctx, healthAnswer{State: h.state, Instance: h.instance})
}

func (inc *incarnation) serveLoad(ctx *fasthttp.RequestCtx) {
	h := inc.leaf.hint(inc, time.Now())
	writeJSON(ctx, loadAnswer{Running: h.running, Queued: h.queued, Slots: h.slots})
}

// hint returns what the leaf tells now, which may be old or wrong.
func (l *Leaf) hint(inc *incarnation, now time.Time) hint {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.sample(inc, now)
	if l.policy.ReportIdle {
		return hint{slots: current.slots, state: "ok", instance: current.instance}
	}
	shown := now.Add(-time.Duration(l.policy.ReportLagMS) * time.Millisecond)
	if l.policy.ReportLagMS <= 0 || len(l.samples) == 0 {
		return current
	}
	for i := len(l.samples) - 1; i > 0; i-- {
		if !l.samples[i].at.After(shown) {
			return l.samples[i]
		}
	}
	return l.samples[0]
}

// sample returns the true state. The leaf's lock is held.
func (l *Leaf) sample(inc *incarnation, now time.Time) hint {
	h := hint{
		at:       now,
		running:  inc.running,
		queued:   len(inc.waiting),
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

// Sample keeps the state for lagging hints. It is called at a fixed interval.
func (l *Leaf) Sample(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.policy.ReportLagMS <= 0 || l.current == nil {
		l.samples = nil
		return
	}
	l.samples = append(l.samples, l.sample(l.current, now))
	if len(l.samples) > maxSamples {
		l.samples = l.samples[1:]
	}
}
