package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Picker chooses among the instances of all services. It is safe for concurrent
// use.
type Picker struct {
	zone   string
	rand   *rand.Rand
	limits Limits
	// remotePenalty returns the penalty of instances in other zones, see remotePenalty.
	remotePenalty func(typicalLatency time.Duration) float64
	pace          Pace // nil for none

	mu        sync.Mutex
	services  map[string][]*Instance
	instances map[string]*Instance // by ID
	evacuated map[string]bool
	stated    statements
	// leavingGrace is as in SetLeavingGrace.
	leavingGrace time.Duration
	// unshared are the instances of whose connections this VM has no share.
	unshared  map[string]bool
	firstView bool // until instances are known
}

// ColdRate returns how many requests per second this VM may send to a cold
// upstream. If limited is false, there is no limit.
type ColdRate func(u routetable.Upstream) (perSecond float64, limited bool)

// Limits keeps attempts within the limits that instances state on the requests of all
// VMs.
type Limits interface {
	// Admit reports whether the VM may send an attempt to an instance that is its first
	// choice. fraction is the fraction of such attempts that it may send now.
	Admit(instance string) (ok bool, fraction float64)
	// Cancel returns an admission whose attempt wasn't sent.
	Cancel(instance string)
}

// NewPicker returns a picker for a VM of the zone. limits may be nil.
func NewPicker(zone string, r *rand.Rand, limits Limits) *Picker {
	return &Picker{zone: zone, rand: r, limits: limits, services: map[string][]*Instance{}, instances: map[string]*Instance{}, remotePenalty: remotePenalty, stated: newStatements(), firstView: true}
}

// Update replaces the instances. Observations of instances that remain are
// kept. cold limits this VM's requests to cold upstreams; nil means no limit.
func (p *Picker) Update(now time.Time, upstreams map[string][]routetable.Upstream, evacuated map[string]bool, cold ColdRate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	services, instances := map[string][]*Instance{}, map[string]*Instance{}
	for service, list := range upstreams {
		for _, u := range list {
			inst := p.instances[u.ID]
			isNew := inst == nil || !inst.Announcement.SameInstance(u)
			if isNew {
				inst = newInstance(u, now)
			}
			// The cold period counts from the announcement. An unchanged time is
			// taken for that of an earlier one, and must not extend the period. An
			// announcement of 0 doesn't end the period early.
			wasColdUntil := inst.coldUntil
			if u.Cold > 0 && u.Cold != inst.Announcement.Cold || u.Cold > 0 && inst.coldUntil.IsZero() {
				inst.coldUntil = now.Add(u.Cold)
			}
			inst.Announcement = u
			if cold != nil && u.Cold > 0 {
				inst.cold.rate, inst.cold.limited = cold(u)
			}
			p.begin(now, inst, isNew, wasColdUntil)
			instances[u.ID] = inst
			services[service] = append(services[service], inst)
		}
	}
	p.services, p.instances, p.evacuated = services, instances, evacuated
	p.firstView = p.firstView && len(instances) == 0
	p.stated.prune(now, instances)
}

// SetUnshared replaces the instances of whose connections this VM has no share, by ID.
// They are picked only if the others of their service are tried or failing.
func (p *Picker) SetUnshared(ids map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unshared = ids
}

// allowed reports whether the instance may be picked at all. The limit of a cold one
// is checked by Pick.
func (p *Picker) allowed(inst *Instance) bool {
	return !inst.replaced && !inst.Announcement.Draining && !p.evacuated[inst.Announcement.Zone]
}

// Request describes the request to pick an instance for.
type Request struct {
	Service string
	// TypicalLatency is the median latency of such requests; 0 if unknown.
	TypicalLatency time.Duration
	// Tried holds the instances that have already been sent the request. They are
	// skipped, or come last if RetryTried is set.
	Tried      []*Instance
	RetryTried bool
	// ExtraAttemptScarcity is how scarce the extra attempts are that could follow a
	// rejection, by the retry budget: 1 if none is left, near 0 if many are. It
	// scales the penalty of instances that reject requests without being full.
	ExtraAttemptScarcity float64
}

// Shortage is why no instance was picked.
type Shortage struct {
	// AtLimit is set if an instance wasn't picked because of the limit that it states.
	AtLimit bool
	// AdmittedFraction is the largest fraction of attempts that such an instance
	// admits now.
	AdmittedFraction float64
	// OpensIn is the time until the first of the instances that take no requests of this
	// VM does again; 0 if there is none.
	OpensIn time.Duration
}

// Pick starts an attempt at the instance with the lowest score. It skips those in
// Tried, draining or replaced ones, those in evacuated zones, those that have stated that
// they leave or take no requests, cold ones to which this VM may not send now, and those
// whose limit doesn't admit the attempt. Returning ones whose pace doesn't admit it come
// later for first attempts, and get no hedges. It returns nil if none is left.
func (p *Picker) Pick(now time.Time, r Request) (*Attempt, Shortage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shortage Shortage
	var held []*Instance
	paced, isHedge, isRetry := p.updateReturning(r.Service), len(r.Tried) > 0, r.RetryTried
	skipped := r.Tried
	for {
		best := p.best(now, r, skipped, held, paced, isRetry, &shortage)
		if best == nil && r.RetryTried {
			r.RetryTried, skipped = false, skipped[len(r.Tried):]
			continue
		}
		if best == nil {
			return nil, shortage
		}
		if paced && !isRetry && !slices.Contains(held, best) && p.isHeldBack(now, best) {
			if isHedge {
				skipped = append(slices.Clip(skipped), best)
			} else {
				held = append(held, best)
			}
			continue
		}
		ok, fraction := p.admit(best)
		if ok {
			return p.start(now, best, r.TypicalLatency), Shortage{}
		}
		shortage.AtLimit, shortage.AdmittedFraction = true, max(shortage.AdmittedFraction, fraction)
		skipped = append(slices.Clip(skipped), best)
	}
}

// best returns the instance with the lowest score, or nil. It adds the instances that take
// no requests of this VM to the shortage. held are those that their pace holds back; paced
// is set if some instances of the service are returning and others aren't. The caller
// holds mu.
func (p *Picker) best(now time.Time, r Request, skipped, held []*Instance, paced, isRetry bool, shortage *Shortage) *Instance {
	var best *Instance
	var bestScore float64
	coldSkipped := false
	bestIsLast := false
	remote := p.remotePenalty(r.TypicalLatency)
	for _, inst := range p.services[r.Service] {
		if !p.allowed(inst) || slices.Contains(skipped, inst) {
			continue
		}
		if open, opensIn := p.isOpen(now, inst); !open {
			if opensIn > 0 && (shortage.OpensIn == 0 || opensIn < shortage.OpensIn) {
				shortage.OpensIn = opensIn
			}
			continue
		}
		pace := noPace
		if paced {
			pace = inst.paceState(isRetry, slices.Contains(held, inst))
		}
		s := inst.score(now, p.zone, remote, p.rand.Float64(), r.ExtraAttemptScarcity, pace)
		isLast := len(p.unshared) > 0 && (p.unshared[inst.Announcement.ID] || inst.isFailing(now))
		if best != nil && (isLast && !bestIsLast || isLast == bestIsLast && s >= bestScore) {
			continue
		}
		if now.Before(inst.coldUntil) && !inst.cold.allow(now) {
			coldSkipped = true
			continue
		}
		best, bestScore, bestIsLast = inst, s, isLast
	}
	if coldSkipped { // a cold instance may take a request very soon
		shortage.OpensIn = 0
	}
	return best
}

func (p *Picker) admit(inst *Instance) (ok bool, fraction float64) {
	if p.limits == nil {
		return true, 1
	}
	return p.limits.Admit(inst.Announcement.ID)
}

func (p *Picker) start(now time.Time, inst *Instance, typicalLatency time.Duration) *Attempt {
	a := &Attempt{Instance: inst, Upstream: inst.Announcement, sentAt: now, typicalLatency: typicalLatency}
	if now.Before(inst.coldUntil) {
		inst.cold.recordSend(now)
		a.pickedCold = true
	}
	inst.inFlight = append(inst.inFlight, a)
	inst.pickedAt = now
	return a
}

// MarkSent sets the start of the attempt to now. It is called just before the
// request is written.
func (p *Picker) MarkSent(a *Attempt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.sentAt, a.sent = now, true
}

// MarkSlow records the time that an attempt has taken so far, so that later picks
// consider that latency before the attempt ends. The caller decides when an attempt
// is slow.
func (p *Picker) MarkSlow(a *Attempt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.typicalLatency > 0 {
		a.Instance.observe(now, float64(now.Sub(a.sentAt))/float64(a.typicalLatency))
	}
}

// Load is the load that an upstream reported with its answer.
type Load struct {
	Running, Queued, Slots int
	// Slowdown is how long work takes on the upstream now, in multiples of the usual time;
	// 0 if it isn't known.
	Slowdown float64
}

// hasRoom reports whether the upstream reported a free slot.
func (l *Load) hasRoom() bool { return l != nil && l.Running+l.Queued < l.Slots }

// Done ends an attempt. load is nil if the upstream didn't report any.
func (p *Picker) Done(a *Attempt, now time.Time, o Outcome, load *Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := a.Instance
	inst.remove(a)
	if !a.sent && p.limits != nil {
		p.limits.Cancel(inst.Announcement.ID)
	}
	took := now.Sub(a.sentAt)
	switch o {
	case Answered:
		if a.typicalLatency > 0 {
			inst.observe(now, float64(took)/float64(a.typicalLatency))
		}
	case Canceled:
		// The time until the cancellation is a lower bound of the latency. If it is
		// shorter than typical, it doesn't show that the instance is fast.
		if a.typicalLatency > 0 && took > a.typicalLatency {
			inst.observe(now, float64(took)/float64(a.typicalLatency))
		}
	case Failed:
		inst.fail(now, failurePenalty)
	case Unreachable:
		inst.fail(now, failurePenalty)
		inst.avoidUntil = now.Add(avoidDuration)
	case Rejected:
		inst.reject(now, load)
	case WrongInstance:
		inst.replaced = true
	}
	p.observePace(a, now, o, load)
	if load != nil && load.Slots > 0 {
		inst.reportedLoad = float64(load.Running+load.Queued) / float64(load.Slots)
		inst.loadReportedAt = now
		if o == Answered {
			inst.observeWork(took)
		}
		inst.slowdown.report(now, load.Slowdown)
	}
}
