package gateway

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// requestResult is the outcome of a request for logs and metrics.
type requestResult struct {
	status             int
	reason             Reason
	callerDisconnected bool
	writeErr           error
	err                error
	missing            []string // services without a response
	shards             int
	answered           int
	attempts           int
	hedges             int
	deniedByBudget     int      // extra attempts that the retry budget didn't allow
	withoutUpstream    int      // attempts without an available upstream
	atLimit            int      // attempts that the upstreams' limits didn't admit
	leftOut            int      // shards that the request did without, as they were short
	deniedByLoad       int      // extra attempts for which no upstream had a free slot under overload
	deniedAsSuspect    int      // extra attempts that could have crashed another instance
	upstreams          []string // tried by a request to a single service
	executor           string   // VM that ran the request, if it wasn't this one
	handedOver         bool     // this VM tried to run the request first
}

// Metrics holds the gateway's counters.
type Metrics struct {
	set                 *metrics.Set
	extraAttemptsDenied *metrics.Counter
	malformedLoads      *metrics.Counter
	strayResponses      *metrics.Counter
	attempts            *metrics.Counter
	hedges              *metrics.Counter
	atLimit             *metrics.Counter
	missing             *metrics.Counter
	shed                *metrics.Counter
	deniedByLoad        *metrics.Counter
	leftOut             *metrics.Counter
	callersDisconnected *metrics.Counter
}

// NewMetrics registers the gateway's counters.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:                 set,
		extraAttemptsDenied: set.NewCounter("ryecourse_gateway_repeats_denied_total"),
		malformedLoads:      set.NewCounter("ryecourse_gateway_malformed_load_reports_total"),
		strayResponses:      set.NewCounter("ryecourse_gateway_stray_responses_total"),
		attempts:            set.NewCounter("ryecourse_gateway_attempts_total"),
		hedges:              set.NewCounter("ryecourse_gateway_hedges_total"),
		atLimit:             set.NewCounter("ryecourse_gateway_attempts_at_limit_total"),
		missing:             set.NewCounter("ryecourse_gateway_missing_shards_total"),
		shed:                set.NewCounter("ryecourse_gateway_shed_total"),
		deniedByLoad:        set.NewCounter("ryecourse_gateway_extra_attempts_denied_by_load_total"),
		leftOut:             set.NewCounter("ryecourse_gateway_shards_left_out_total"),
		callersDisconnected: set.NewCounter("ryecourse_gateway_callers_left_total"),
	}
}

// invalidResponse returns the counter of invalid responses for a reason.
func (m *Metrics) invalidResponse(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`ryecourse_gateway_invalid_responses_total{reason="` + reason + `"}`)
}

// rejectedExecutions returns the counter of other VMs' requests that this one has rejected for a
// reason.
func (m *Metrics) rejectedExecutions(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(`ryecourse_gateway_executions_rejected_total{reason="` + reason + `"}`)
}

// withdrawnAttempts returns the counter of withdrawn attempts for a reason.
func (m *Metrics) withdrawnAttempts(w Withdrawal) *metrics.Counter {
	return m.set.GetOrCreateCounter(`ryecourse_gateway_attempts_withdrawn_total{reason="` + string(w) + `"}`)
}

// outcome returns the result's label in logs and metrics.
func (r *requestResult) outcome() string {
	switch {
	case r.callerDisconnected:
		return "caller_left"
	case r.reason != "":
		return string(r.reason)
	case r.status >= http.StatusInternalServerError:
		return "upstream_error"
	case len(r.missing) > 0:
		return "partial"
	}
	return "served"
}

// record counts the request, and logs it if its caller didn't get a complete
// response in time.
func (g *Gateway) record(in *incoming, r requestResult) {
	took := time.Since(in.started)
	outcome := r.outcome()
	g.metrics.set.GetOrCreateCounter(`ryecourse_gateway_requests_total{outcome="` + outcome + `"}`).Inc()
	if r.executor == "" { // an executor counts its attempts itself
		g.countAttempts(r)
	}
	if r.callerDisconnected {
		g.metrics.callersDisconnected.Inc()
	}
	late := false
	if in.route != nil {
		g.metrics.set.GetOrCreatePrometheusHistogram(`ryecourse_gateway_seconds{outcome="` + outcome + `"}`).Update(took.Seconds())
		late = took > in.route.Objective
	}
	if outcome == "served" && !late {
		return
	}
	g.logRequest("request", in, r, outcome, took, late)
}

func (g *Gateway) countAttempts(r requestResult) {
	g.metrics.attempts.Add(r.attempts)
	g.metrics.hedges.Add(r.hedges)
	g.metrics.atLimit.Add(r.atLimit)
	g.metrics.missing.Add(len(r.missing))
	g.metrics.deniedByLoad.Add(r.deniedByLoad)
	g.metrics.leftOut.Add(r.leftOut)
}

// recordExecution counts a query that was run for another VM, and logs it if its result
// isn't complete and in time.
func (g *Gateway) recordExecution(in *incoming, r requestResult) {
	took := time.Since(in.started)
	outcome := r.outcome()
	g.metrics.set.GetOrCreateCounter(`ryecourse_gateway_executions_total{outcome="` + outcome + `"}`).Inc()
	if r.executor == "" {
		g.countAttempts(r)
	}
	late := took > in.softTimeout
	if outcome != "served" || late {
		g.logRequest("execution", in, r, outcome, took, late)
	}
}

func (g *Gateway) logRequest(event string, in *incoming, r requestResult, outcome string, took time.Duration, late bool) {
	e := g.log.Outcome(event, outcome).Str("request", in.info.ID).
		Int("status", r.status).Dur("took_ms", took).Bool("late", late).Dur("knowledge_age_ms", in.viewAge)
	if in.view != nil {
		e.Int64("config_version", in.view.Table.Config.Version)
	}
	if in.route != nil {
		e.Str("route", in.route.Name)
	}
	if in.fingerprint != 0 {
		e.Str("fingerprint", in.fingerprint.String())
	}
	if in.customer != nil {
		e.Str("customer", in.customer.Name)
	}
	if in.waitedBefore > 0 {
		e.Dur("waited_before_ms", in.waitedBefore)
	}
	if r.shards > 0 {
		e.Int("shards", r.shards).Int("answered", r.answered).Int("attempts", r.attempts).Int("hedges", r.hedges).
			Int("denied", r.deniedByBudget).Int("unplaced", r.withoutUpstream).Int("at_limit", r.atLimit)
	}
	if r.leftOut > 0 {
		e.Int("left_out", r.leftOut)
	}
	if r.deniedByLoad > 0 {
		e.Int("denied_by_load", r.deniedByLoad)
	}
	if r.deniedAsSuspect > 0 {
		e.Int("denied_as_suspect", r.deniedAsSuspect)
	}
	if r.executor != "" {
		e.Str("executor", r.executor).Bool("handed_over", r.handedOver)
	}
	if len(r.upstreams) > 0 {
		e.Strs("upstreams", r.upstreams)
	}
	if len(r.missing) > 0 {
		e.Strs("missing", r.missing[:min(len(r.missing), maxLoggedMissing)])
	}
	addErr(e, "error", r.err)
	addErr(e, "write_error", r.writeErr)
	e.Send()
}

// maxLoggedMissing limits the services listed in one log line.
const maxLoggedMissing = 8

func addErr(e *zerolog.Event, name string, err error) {
	if err != nil {
		e.Str(name, err.Error())
	}
}

// logAttempt logs a failed attempt.
func (g *Gateway) logAttempt(q *proxyRequest, r attemptResult) {
	e := g.log.Event("attempt_failed").Str("request", q.in.info.ID).
		Str("service", q.services[r.shard]).Str("upstream", r.attempt.Upstream.ID).
		Str("kind", r.kind.String()).Str("verdict", r.upstreamResult.Verdict.String())
	if resp := r.upstreamResult.Response; resp != nil {
		e.Int("upstream_status", resp.StatusCode()).Bool("not_run", r.upstreamResult.Info.NotRun)
	}
	if l := loadOf(&r.upstreamResult); l != nil {
		e.Int("running", l.Running).Int("waiting", l.Queued).Int("slots", l.Slots)
	}
	addErr(e, "error", r.upstreamResult.Err)
	e.Send()
}
