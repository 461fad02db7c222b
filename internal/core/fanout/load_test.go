package fanout

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// The load: queries over many shards whose upstreams pause at times of their
// own, as the users' pages describe them.
const (
	pauseLength = 100 * time.Millisecond
	pauseEvery  = 2400 * time.Millisecond
	workMean    = 7500 * time.Microsecond
	objective   = 80 * time.Millisecond
	replicas    = 3
)

type simulation struct {
	rng    *rand.Rand
	now    time.Duration
	events eventHeap
	phases [][]time.Duration
	budget float64
	ratio  float64
}

type simulationEvent struct {
	at time.Duration
	do func()
}

type eventHeap []simulationEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simulationEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (w *simulation) after(d time.Duration, do func()) {
	heap.Push(&w.events, simulationEvent{w.now + d, do})
}

func (w *simulation) clock() time.Time { return start.Add(w.now) }

// service is the time that an upstream takes for a request that comes now.
func (w *simulation) service(shard, replica int) time.Duration {
	work := time.Duration(float64(workMean) * (0.65 + 0.7*w.rng.Float64()))
	if w.rng.Float64() < 0.01 {
		work *= 5
	}
	into := (w.now + w.phases[shard][replica]) % pauseEvery
	if into < pauseLength {
		work += pauseLength - into
	}
	return work
}

// simulatedQuery carries out one query's attempts.
type simulatedQuery struct {
	w       *simulation
	q       *Query
	latency *Latency
	began   time.Duration
	tried   [][]int
	ended   bool
	finish  func(took time.Duration, answered int)
}

func (l *simulatedQuery) Send(shard int, kind Kind) SendResult {
	w := l.w
	if kind != First {
		if w.budget < 1 {
			return NoBudget
		}
		w.budget--
	}
	replica := w.rng.IntN(replicas)
	for len(l.tried[shard]) > 0 && replica == l.tried[shard][0] {
		replica = w.rng.IntN(replicas)
	}
	l.tried[shard] = append(l.tried[shard], replica)
	took := w.service(shard, replica)
	w.after(took, func() {
		if kind == First {
			l.latency.Observe(took)
		}
		l.q.OnResult(w.clock(), shard, true, verdict.Ran)
		l.check()
	})
	return Started
}

func (l *simulatedQuery) check() {
	if l.ended {
		return
	}
	if l.q.Outcome() != Running {
		l.ended = true
		l.finish(l.w.now-l.began, l.q.Answered())
		return
	}
	next := l.q.NextTimer(l.w.clock()).Sub(l.w.clock())
	l.w.after(max(next, 0), func() {
		if !l.ended {
			l.q.OnTimer(l.w.clock())
			l.check()
		}
	})
}

// meanUtility plays queries at 20 a second and returns the mean worth: the square of
// the share that is answered within the objective.
func meanUtility(shards int, minShare, ratio float64, hedge bool) float64 {
	w := &simulation{rng: rand.New(rand.NewPCG(7, uint64(shards))), ratio: ratio}
	for range shards {
		p := make([]time.Duration, replicas)
		for i := range p {
			p[i] = time.Duration(w.rng.Int64N(int64(pauseEvery)))
		}
		w.phases = append(w.phases, p)
	}
	latency := &Latency{}
	var worth float64
	const queries = 2000
	for i := range queries {
		w.after(time.Duration(i)*50*time.Millisecond, func() {
			w.budget = min(w.budget+ratio*float64(shards), 4*float64(shards))
			l := &simulatedQuery{w: w, latency: latency, began: w.now, tried: make([][]int, shards)}
			l.finish = func(took time.Duration, answered int) {
				if took <= objective {
					share := float64(answered) / float64(shards)
					worth += share * share
				}
			}
			p := Policy{
				Shards: shards, MinShare: minShare, MaxRuns: 2, Idempotent: true,
				SoftDeadline: w.clock().Add(objective - 12*time.Millisecond), Deadline: w.clock().Add(time.Second),
			}
			if hedge {
				p.HedgeDelay = latency.HedgeDelay(objective / 3)
			}
			l.q = New(p, l)
			l.q.Start(w.clock())
			l.check()
		})
	}
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(simulationEvent)
		w.now = e.at
		e.do()
	}
	return worth / queries
}

// TestHedgesCarryQueriesOverPauses checks what callers get of the hedges, within
// the users' budget of repeats.
func TestHedgesCarryQueriesOverPauses(t *testing.T) {
	for _, c := range []struct {
		shards   int
		minShare float64
	}{{10, 0.89}, {36, 0.95}} {
		without := meanUtility(c.shards, c.minShare, 0.17, false)
		with := meanUtility(c.shards, c.minShare, 0.17, true)
		t.Logf("%d shards: worth %.3f without hedges, %.3f with them", c.shards, without, with)
		if with < 0.97 {
			t.Errorf("%d shards: worth %.3f with hedges, want 0.97", c.shards, with)
		}
		if with < without {
			t.Errorf("%d shards: hedges lower the worth from %.3f to %.3f", c.shards, without, with)
		}
	}
}
