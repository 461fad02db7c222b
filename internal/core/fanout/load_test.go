package fanout

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Simulated load, as in the requirements: queries over many shards whose
// upstreams pause independently of each other.
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

func (sim *simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.events, simulationEvent{sim.now + d, do})
}

func (sim *simulation) clock() time.Time { return start.Add(sim.now) }

// serviceTime draws the time that an upstream takes for a request that arrives
// now.
func (sim *simulation) serviceTime(shard, replica int) time.Duration {
	work := time.Duration(float64(workMean) * (0.65 + 0.7*sim.rng.Float64()))
	if sim.rng.Float64() < 0.01 {
		work *= 5
	}
	into := (sim.now + sim.phases[shard][replica]) % pauseEvery
	if into < pauseLength {
		work += pauseLength - into
	}
	return work
}

// simulatedQuery executes the attempts of one query.
type simulatedQuery struct {
	sim       *simulation
	q         *Query
	latency   *Latency
	startedAt time.Duration
	tried     [][]int
	ended     bool
	finish    func(took time.Duration, answered int)
}

func (l *simulatedQuery) Send(shard int, kind Kind) SendResult {
	sim := l.sim
	if kind != First {
		if sim.budget < 1 {
			return NoBudget
		}
		sim.budget--
	}
	replica := sim.rng.IntN(replicas)
	for len(l.tried[shard]) > 0 && replica == l.tried[shard][0] {
		replica = sim.rng.IntN(replicas)
	}
	l.tried[shard] = append(l.tried[shard], replica)
	took := sim.serviceTime(shard, replica)
	sim.after(took, func() {
		if kind == First {
			l.latency.Observe(took)
		}
		l.q.OnResult(sim.clock(), shard, true, verdict.Ran)
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
		l.finish(l.sim.now-l.startedAt, l.q.Answered())
		return
	}
	next := l.q.NextTimer(l.sim.clock()).Sub(l.sim.clock())
	l.sim.after(max(next, 0), func() {
		if !l.ended {
			l.q.OnTimer(l.sim.clock())
			l.check()
		}
	})
}

// meanUtility simulates 20 queries per second and returns their mean utility.
// The utility of a query is the square of the fraction of shards that answered,
// or 0 if the query took longer than the latency objective.
func meanUtility(shards int, minShare, ratio float64, hedge bool) float64 {
	sim := &simulation{rng: rand.New(rand.NewPCG(7, uint64(shards))), ratio: ratio}
	for range shards {
		p := make([]time.Duration, replicas)
		for i := range p {
			p[i] = time.Duration(sim.rng.Int64N(int64(pauseEvery)))
		}
		sim.phases = append(sim.phases, p)
	}
	latency := &Latency{}
	var utility float64
	const queries = 2000
	for i := range queries {
		sim.after(time.Duration(i)*50*time.Millisecond, func() {
			sim.budget = min(sim.budget+ratio*float64(shards), 4*float64(shards))
			l := &simulatedQuery{sim: sim, latency: latency, startedAt: sim.now, tried: make([][]int, shards)}
			l.finish = func(took time.Duration, answered int) {
				if took <= objective {
					fraction := float64(answered) / float64(shards)
					utility += fraction * fraction
				}
			}
			p := Policy{
				Shards: shards, MinShare: minShare, MaxRuns: 2, Idempotent: true,
				SoftDeadline: sim.clock().Add(objective - 12*time.Millisecond), Deadline: sim.clock().Add(time.Second),
			}
			if hedge {
				p.HedgeDelay = latency.HedgeDelay(objective / 3)
			}
			l.q = New(p, l)
			l.q.Start(sim.clock())
			l.check()
		})
	}
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(simulationEvent)
		sim.now = e.at
		e.do()
	}
	return utility / queries
}

// TestHedgesMaskPauses checks that hedging keeps the utility high although
// upstreams pause, with a retry budget of 17% of the requests.
func TestHedgesMaskPauses(t *testing.T) {
	for _, c := range []struct {
		shards   int
		minShare float64
	}{{10, 0.89}, {36, 0.95}} {
		without := meanUtility(c.shards, c.minShare, 0.17, false)
		with := meanUtility(c.shards, c.minShare, 0.17, true)
		t.Logf("%d shards: utility %.3f without hedges, %.3f with them", c.shards, without, with)
		if with < 0.97 {
			t.Errorf("%d shards: utility %.3f with hedges, want 0.97", c.shards, with)
		}
		if with < without {
			t.Errorf("%d shards: hedges lower the utility from %.3f to %.3f", c.shards, without, with)
		}
	}
}
