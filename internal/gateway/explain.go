package gateway

import (
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/customerrate"
	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// ratePeeker is a Limiter that can return what Admit would decide, without taking a token.
type ratePeeker interface {
	Peek(now time.Time, customer string, late bool) (a customerrate.Allowance, limited bool)
}

// executorPeeker returns the VMs that Executors would name next, without taking a turn.
type executorPeeker interface {
	PeekCandidates(now time.Time, zones map[string]bool) []string
	PeekHelpers(now time.Time) []string
}

// Explain returns where a request would go now. It sends nothing and consumes nothing: no
// token of a customer's rate, no extra attempt, no trial, no turn.
func (g *Gateway) Explain(q Question) Explanation {
	in := &incoming{started: time.Now(), info: RequestInfo{Key: q.Key, Timeout: millisToDuration(q.TimeoutMs), HasTimeout: q.TimeoutMs > 0}}
	var e Explanation
	refused := g.explainAdmission(in, q, &e)
	if in.route != nil {
		e.Route = explainRoute(in.route)
		e.Services, e.RunsOn = g.explainServices(in), g.explainRunsOn(in)
	}
	if refused == nil {
		refused = g.explainPlacement(in, &e)
	}
	if e.Verdict == "" && refused == nil {
		e.Verdict = WouldServe
	}
	if refused != nil {
		e.Verdict, e.Status, e.Reason = WouldRefuse, statusOf[refused.reason], refused.reason
		if impliesNotRun(e.Status) {
			e.RetryAfterMs = toMillis(refused.retryAfter)
		}
	}
	return e
}

// explainAdmission takes the steps of admit. A body isn't asked about.
func (g *Gateway) explainAdmission(in *incoming, q Question, e *Explanation) *refusal {
	refused := g.findRoute(in, q.Host, q.URI)
	e.ConfigAgeMs = toMillis(in.viewAge)
	if in.view != nil {
		e.ConfigVersion = in.view.Table.Config.Version
	}
	if refused != nil {
		return refused
	}
	if q.Customer != "" {
		in.info.Key = keyOf(in.view.Table, q.Customer)
	}
	refused = g.authenticate(in, g.isStale(in))
	if e.Priority = in.route.Priority; in.customer != nil && in.customer.Priority != nil {
		e.Priority = *in.customer.Priority
	}
	if q.Priority != nil {
		e.Priority = *q.Priority
	}
	if refused != nil {
		return refused
	}
	in.fingerprint = fingerprintOf(q.Method, q.Host, q.URI, in.customerName(), nil)
	if left, ok := g.quarantine.Quarantined(boottime.Now(), uint64(in.fingerprint)); ok {
		return &refusal{ReasonQuarantined, left}
	}
	if in.customer == nil {
		return nil
	}
	e.Customer = &CustomerExplained{Name: in.customer.Name, PerSecond: in.customer.RatePerSecond, Burst: in.customer.Burst, Admits: true}
	peeker, ok := g.limiter.(ratePeeker)
	if !ok {
		return nil
	}
	a, limited := peeker.Peek(in.started, in.customer.Name, in.isLate())
	e.Customer.Limited, e.Customer.Admits, e.Customer.PoolLeft, e.Customer.OwnLeft = limited, a.Admits, a.PoolLeft, a.OwnLeft
	if !a.Admits {
		return &refusal{ReasonRateLimited, a.RetryAfter}
	}
	return nil
}

// keyOf returns a key of a customer, or "".
func keyOf(t *routetable.Table, customer string) string {
	for i := range t.Config.Customers {
		if c := &t.Config.Customers[i]; c.Name == customer && len(c.Keys) > 0 {
			return c.Keys[0]
		}
	}
	return ""
}

func explainRoute(r *routetable.Route) *RouteExplained {
	out := &RouteExplained{
		Name: r.Name, Prefix: r.Prefix, Idempotent: r.Idempotent, Public: r.Public, Attempts: r.Attempts,
		TimeoutMs: toMillis(r.Timeout), ObjectiveMs: toMillis(r.Objective), Shards: shardCount(r), MinShare: 1,
	}
	if r.Sharded != nil {
		out.MinShare = r.Sharded.MinShare
	}
	return out
}

// explainServices describes the instances of the services that this VM would send to.
func (g *Gateway) explainServices(in *incoming) []ServiceExplained {
	services := []string{}
	if in.route.Sharded != nil {
		services = in.route.Sharded.Shards
	} else if len(in.route.Targets) > 0 {
		services = append(services, g.weights.peek(in.route))
	}
	now := time.Now()
	var out []ServiceExplained
	for _, service := range services {
		s := ServiceExplained{Service: service, ExtraAttemptsLeft: g.retryBudget.Left(service), Candidates: []CandidateExplained{}}
		for _, c := range g.picker.Explain(now, placement.Request{Service: service, TypicalLatency: g.latencyFor(in.route.Name).Median(), ExtraAttemptScarcity: g.retryBudget.Scarcity(service)}) {
			if c.Excluded == placement.Usable {
				s.Usable++
			}
			s.Candidates = append(s.Candidates, explainCandidate(c))
		}
		out = append(out, s)
	}
	return out
}

func explainCandidate(c placement.Candidate) CandidateExplained {
	return CandidateExplained{
		Instance: c.Instance, Zone: c.Zone, Excluded: c.Excluded, OpensInMs: toMillis(c.OpensIn), Score: c.Score, Slowness: c.Slowness,
		Penalty: c.Penalty, InFlight: c.InFlight, Slots: c.Slots, Load: c.ReportedLoad, LoadAgeMs: toMillis(c.LoadAge),
		LoadUsed: c.LoadAge >= 0 && c.LoadAge < placement.LoadMaxAge, Avoided: c.Avoided, Overdue: c.Overdue, Cold: c.IsCold, AdmittedFraction: c.AdmittedFraction,
	}
}

// explainRunsOn returns the VMs that would run the request.
func (g *Gateway) explainRunsOn(in *incoming) RunsOn {
	out := RunsOn{Here: g.reachable.LocalFraction(in.started), Reachability: g.reachable.State().String()}
	peeker, ok := g.executors.(executorPeeker)
	if ok && out.Here < 1 {
		out.Helpers = peeker.PeekHelpers(in.started)
	}
	if ok && in.route.Sharded != nil {
		out.Executors = peeker.PeekCandidates(in.started, shardZones(in.view, in.route))
	}
	return out
}

// explainPlacement returns the refusal of an admitted request, if upstreams are overloaded
// or this VM would run it and lacks upstreams.
func (g *Gateway) explainPlacement(in *incoming, e *Explanation) *refusal {
	if services := serviceNames(e.Services); len(services) > 0 {
		in.services = services
		r := g.shedRequest(in)
		r.Priority = e.Priority
		d := g.shedder.Peek(in.started, r)
		e.Admission = &AdmissionAnswer{
			RejectedFraction: d.Fraction, Service: d.Service, Load: d.Load, AgeMs: toMillis(d.Age), RetryAfterMs: toMillis(d.RetryAfter),
		}
		if !d.Admit {
			e.Admission.Reason, e.Verdict = ReasonOverloaded, Unknown
		}
	}
	refused := g.explainStart(in, e.Services)
	if refused != nil && (len(e.RunsOn.Helpers) > 0 || len(e.RunsOn.Executors) > 0) {
		e.Verdict = Unknown // the VM that runs the request may see other upstreams
		return nil
	}
	return refused
}

// explainStart starts the request's fan-out without an attempt, and returns the refusal if
// too few services have an upstream until no more time is left to wait for one.
func (g *Gateway) explainStart(in *incoming, services []ServiceExplained) *refusal {
	q := &proxyRequest{g: g, in: in, services: serviceNames(services), latency: g.latencyFor(in.route.Name)}
	q.writes.count = make([]int, len(services))
	policy := q.policy()
	q.query = fanout.New(policy, &explainSender{q, services})
	q.query.Start(in.started)
	if q.query.Outcome() == fanout.Running { // shards without an upstream wait for one, while the others run
		for shard, service := range services {
			if service.Usable > 0 {
				q.query.OnResult(in.started, shard, true, verdict.Ran)
			}
		}
		q.query.OnTimer(policy.UpstreamWaitDeadline)
	}
	if q.query.Outcome() != fanout.Unanswerable {
		return nil
	}
	reason := q.refineReason(ReasonUpstreamsFailed)
	return &refusal{reason, q.refusalRetryAfter(reason)}
}

// explainSender is the fanout.Sender of a request that isn't sent.
type explainSender struct {
	q        *proxyRequest
	services []ServiceExplained
}

// Send implements fanout.Sender.
func (s *explainSender) Send(shard int, kind fanout.Kind) fanout.SendResult {
	service := &s.services[shard]
	shortage := shortageOf(service)
	switch {
	case service.Usable > 0 && kind == fanout.First:
		return fanout.Started
	case service.Usable > 0:
		return fanout.NoBudget
	case shortage.AtLimit:
		s.q.refusedByLimit(shortage)
		return fanout.AtLimit
	case shortage.OpensIn > 0:
		s.q.refusedAsClosed(shortage)
		return fanout.AtLimit
	}
	return fanout.NoUpstream
}

// shortageOf returns what placement.Picker.Pick would return with no instance.
func shortageOf(s *ServiceExplained) placement.Shortage {
	var out placement.Shortage
	cold := false
	for _, c := range s.Candidates {
		switch opensIn := millisToDuration(c.OpensInMs); {
		case c.Excluded == placement.AtLimit:
			out.AtLimit, out.AdmittedFraction = true, max(out.AdmittedFraction, c.AdmittedFraction)
		case c.Excluded == placement.Cold:
			cold = true
		case opensIn > 0 && (out.OpensIn == 0 || opensIn < out.OpensIn):
			out.OpensIn = opensIn
		}
	}
	if cold { // a cold instance may take a request very soon
		out.OpensIn = 0
	}
	return out
}

func toMillis(d time.Duration) float64 { return d.Seconds() * 1000 }

func millisToDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func serviceNames(services []ServiceExplained) []string {
	var out []string
	for _, s := range services {
		out = append(out, s.Service)
	}
	return out
}
