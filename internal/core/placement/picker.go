package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Picker chooses among the instances of all services. It is safe for concurrent
// use.
type Picker struct {
	zone string
	rand *rand.Rand

	mu        sync.Mutex
	services  map[string][]*Instance
	nodes     map[string]*Instance // by ID
	evacuated map[string]bool
}

// ColdRate returns how many requests a second this VM may send to an upstream
// while it is cold; limited is false if any number.
type ColdRate func(u routetable.Upstream) (perSecond float64, limited bool)

// NewPicker returns a picker for a VM of the zone.
func NewPicker(zone string, r *rand.Rand) *Picker {
	return &Picker{zone: zone, rand: r, services: map[string][]*Instance{}, nodes: map[string]*Instance{}}
}

// Update replaces the instances. What is known of those that stay is kept.
// cold limits this VM's requests to cold upstreams; nil sets no limit.
func (p *Picker) Update(now time.Time, upstreams map[string][]routetable.Upstream, evacuated map[string]bool, cold ColdRate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	services, nodes := map[string][]*Instance{}, map[string]*Instance{}
	for service, list := range upstreams {
		for _, u := range list {
			n := p.nodes[u.ID]
			if n == nil || !n.Upstream.SameInstance(u) {
				n = newNode(u, now)
			}
			if u.Cold > 0 && u.Cold != n.Upstream.Cold || u.Cold > 0 && n.coldUntil.IsZero() {
				n.coldUntil = now.Add(u.Cold)
			}
			n.Upstream = u
			if cold != nil && u.Cold > 0 {
				n.cold.rate, n.cold.limited = cold(u)
			}
			nodes[u.ID] = n
			services[service] = append(services[service], n)
		}
	}
	p.services, p.nodes, p.evacuated = services, nodes, evacuated
}

func (p *Picker) allowed(n *Instance) bool {
	return !n.gone && !n.Upstream.Draining && !p.evacuated[n.Upstream.Zone]
}

// Request is what an instance is looked for.
type Request struct {
	Service string
	// TypicalLatency is the latency that is usual for the request; 0 if it isn't known yet.
	TypicalLatency time.Duration
	// Tried holds the instances that have had the request.
	Tried []*Instance
	// Scarcity is 1 if no repeat could follow a rejection, and near 0 if many could.
	Scarcity float64
}

// Pick returns a flight to the instance with the best score that wasn't tried, or
// nil if there is none.
func (p *Picker) Pick(now time.Time, r Request) *Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *Instance
	var bestScore float64
	for _, n := range p.services[r.Service] {
		if !p.allowed(n) || contains(r.Tried, n) {
			continue
		}
		s := n.score(now, p.zone, p.rand.Float64(), r.Scarcity)
		if best != nil && s >= bestScore {
			continue
		}
		if now.Before(n.coldUntil) && !n.cold.allow(now) {
			continue
		}
		best, bestScore = n, s
	}
	if best == nil {
		return nil
	}
	if now.Before(best.coldUntil) {
		best.cold.recordSend(now)
	}
	f := &Attempt{Instance: best, Upstream: best.Upstream, sentAt: now, typicalLatency: r.TypicalLatency}
	best.inFlight = append(best.inFlight, f)
	return f
}

func contains(list []*Instance, n *Instance) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

// MarkSent tells that the flight's request is about to be written.
func (p *Picker) MarkSent(f *Attempt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.sentAt = now
}

// MarkSlow tells that the flight has taken longer than usual so far, which later
// choices should know before it ends.
func (p *Picker) MarkSlow(f *Attempt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.typicalLatency > 0 {
		f.Instance.observe(now, float64(now.Sub(f.sentAt))/float64(f.typicalLatency))
	}
}

// Load is what an upstream told with an answer.
type Load struct {
	Running, Queued, Slots int
}

// hasRoom reports whether the upstream told that it has a free slot.
func (l *Load) hasRoom() bool { return l != nil && l.Running+l.Queued < l.Slots }

// Done ends a flight. load is nil if the upstream didn't tell any.
func (p *Picker) Done(f *Attempt, now time.Time, o Outcome, load *Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := f.Instance
	n.remove(f)
	took := now.Sub(f.sentAt)
	switch o {
	case Answered:
		if f.typicalLatency > 0 {
			n.observe(now, float64(took)/float64(f.typicalLatency))
		}
	case Canceled:
		if f.typicalLatency > 0 && took > f.typicalLatency {
			n.observe(now, float64(took)/float64(f.typicalLatency))
		}
	case Failed:
		n.fail(now, failurePenalty)
	case Unreachable:
		n.fail(now, failurePenalty)
		n.avoidUntil = now.Add(avoidDuration)
	case Rejected:
		n.reject(now, load)
	case WrongInstance:
		n.gone = true
	}
	if load != nil && load.Slots > 0 {
		n.reportedLoad = float64(load.Running+load.Queued) / float64(load.Slots)
		n.loadReportedAt = now
	}
}
