// Package servicemodel models services under load on a virtual clock: upstreams with
// slots, a queue and their own pace, and VMs that run the gateway's own decisions
// against them. Only tests use it.
package servicemodel

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/simclock"
)

// Behavior is how an upstream runs requests. Zero durations and factors disable what they
// describe.
type Behavior struct {
	// Slots is the number of requests that run at a time, QueueLimit the number that wait.
	// Further ones are rejected.
	Slots, QueueLimit int
	// WorkFactor scales the work of each request; 0 means 1.
	WorkFactor float64
	// PauseEvery is the time between the beginnings of two pauses of PauseLength.
	PauseEvery, PauseLength time.Duration
	// NoiseFraction of all intervals of NoisePeriod scale work by NoiseFactor.
	NoiseFraction, NoiseFactor float64
	NoisePeriod                time.Duration
	// ColdFor is how long the upstream is cold after its start; its work is then scaled by
	// ColdFactor.
	ColdFor    time.Duration
	ColdFactor float64
	// CrashPerSecond is the number of arrivals within a second, while it is cold, above
	// which the upstream crashes for CrashLength.
	CrashPerSecond int
	CrashLength    time.Duration
	// ReportsSlowdown is set if load reports state how long work takes now.
	ReportsSlowdown bool
}

// Outcome is how a request to an upstream ends.
type Outcome uint8

// The outcomes of a request.
const (
	Answered Outcome = iota
	Rejected
	// Lost means that the upstream is down or crashed while it ran the request.
	Lost
)

// Counts are totals of an upstream.
type Counts struct{ Arrivals, Answered, Rejected, Lost, Crashes int }

// Upstream is one instance on a virtual clock.
type Upstream struct {
	Announcement routetable.Upstream
	Behavior     Behavior
	Counts       Counts

	clock     *simclock.Clock
	rng       *rand.Rand
	startedAt time.Time
	downUntil time.Time
	phase     time.Duration
	running   int
	queue     []*request
	active    map[*request]bool
	arrivals  []time.Time // within the last second
	noisy     bool
	noiseEnds time.Time
}

type request struct {
	number  int // of the arrival
	work    time.Duration
	done    func(Outcome, placement.Load)
	started bool
}

// NewUpstream returns an upstream that has just started.
func NewUpstream(clock *simclock.Clock, rng *rand.Rand, a routetable.Upstream, b Behavior) *Upstream {
	u := &Upstream{Announcement: a, Behavior: b, clock: clock, rng: rng, startedAt: clock.Now(), active: map[*request]bool{}}
	if b.PauseEvery > 0 {
		u.phase = time.Duration(rng.Int64N(int64(b.PauseEvery)))
	}
	return u
}

// Restart restarts the upstream: it loses its requests and is cold again.
func (u *Upstream) Restart() {
	u.loseAll()
	u.startedAt, u.downUntil = u.clock.Now(), time.Time{}
}

// Stop takes the upstream down for d. It loses its requests and starts again after it.
func (u *Upstream) Stop(d time.Duration) {
	u.loseAll()
	u.downUntil = u.clock.Now().Add(d)
	u.startedAt = u.downUntil
}

func (u *Upstream) loseAll() {
	lost := slices.SortedFunc(maps.Keys(u.active), func(a, b *request) int { return a.number - b.number })
	u.active, u.queue, u.running = map[*request]bool{}, nil, 0
	for _, r := range lost {
		u.Counts.Lost++
		r.done(Lost, placement.Load{})
	}
}

// Load returns what the upstream reports now.
func (u *Upstream) Load() placement.Load {
	l := placement.Load{Running: u.running, Queued: len(u.queue), Slots: u.Behavior.Slots}
	if u.Behavior.ReportsSlowdown {
		l.Slowdown = u.slowdown()
	}
	return l
}

// IsCold reports whether the upstream is cold.
func (u *Upstream) IsCold() bool { return u.clock.Now().Sub(u.startedAt) < u.Behavior.ColdFor }

// Send makes a request arrive that takes work without other load, at the usual pace. It
// returns a function that cancels the request, which is then never done.
func (u *Upstream) Send(work time.Duration, done func(Outcome, placement.Load)) (cancel func()) {
	u.Counts.Arrivals++
	if u.clock.Now().Before(u.downUntil) {
		u.Counts.Lost++
		u.clock.After(0, func() { done(Lost, placement.Load{}) })
		return func() {}
	}
	if u.crashes() {
		u.Counts.Crashes++
		u.Stop(u.Behavior.CrashLength)
		u.clock.After(0, func() { done(Lost, placement.Load{}) })
		return func() {}
	}
	if u.running >= u.Behavior.Slots && len(u.queue) >= u.Behavior.QueueLimit {
		u.Counts.Rejected++
		load := u.Load()
		u.clock.After(0, func() { done(Rejected, load) })
		return func() {}
	}
	r := &request{number: u.Counts.Arrivals, work: work, done: done}
	u.active[r] = true
	u.queue = append(u.queue, r)
	u.startQueued()
	return func() { u.cancel(r) }
}

// crashes records an arrival and reports whether it is one too many.
func (u *Upstream) crashes() bool {
	now := u.clock.Now()
	u.arrivals = append(u.arrivals, now)
	for now.Sub(u.arrivals[0]) >= time.Second {
		u.arrivals = u.arrivals[1:]
	}
	return u.Behavior.CrashPerSecond > 0 && u.IsCold() && len(u.arrivals) > u.Behavior.CrashPerSecond
}

func (u *Upstream) cancel(r *request) {
	if !u.active[r] {
		return
	}
	delete(u.active, r)
	if r.started {
		u.running--
		u.startQueued()
	}
}

func (u *Upstream) startQueued() {
	for u.running < u.Behavior.Slots && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		if !u.active[r] {
			continue
		}
		r.started = true
		u.running++
		u.clock.After(u.duration(r.work), func() { u.finish(r) })
	}
}

func (u *Upstream) finish(r *request) {
	if !u.active[r] {
		return
	}
	delete(u.active, r)
	u.running--
	u.Counts.Answered++
	u.startQueued()
	r.done(Answered, u.Load())
}

// duration returns how long work takes that starts now, with the pauses in it.
func (u *Upstream) duration(work time.Duration) time.Duration {
	b := u.Behavior
	d := time.Duration(float64(work) * u.slowdown())
	if b.WorkFactor > 0 {
		d = time.Duration(float64(d) * b.WorkFactor)
	}
	if b.PauseEvery <= 0 {
		return d
	}
	into := (u.clock.Now().Sub(time.Unix(0, 0)) + u.phase) % b.PauseEvery
	if into < b.PauseLength {
		return d + b.PauseLength - into
	}
	if into+d > b.PauseEvery {
		return d + b.PauseLength
	}
	return d
}

// slowdown returns the factor of noise and coldness.
func (u *Upstream) slowdown() float64 {
	b, now := u.Behavior, u.clock.Now()
	f := 1.0
	if u.IsCold() && b.ColdFactor > 0 {
		f = b.ColdFactor
	}
	if b.NoisePeriod <= 0 {
		return f
	}
	if !now.Before(u.noiseEnds) {
		u.noisy = u.rng.Float64() < b.NoiseFraction
		u.noiseEnds = now.Add(time.Duration(u.rng.ExpFloat64() * float64(b.NoisePeriod)))
	}
	if u.noisy {
		f *= b.NoiseFactor
	}
	return f
}

// WarmAt returns when the upstream's cold time ends or has ended.
func (u *Upstream) WarmAt() time.Time { return u.startedAt.Add(u.Behavior.ColdFor) }
