// Package gateway serves callers' HTTP requests from upstreams: it looks up the
// route, checks the key and the customer's rate, forwards the request to one
// upstream or to one of each shard, and returns the response. `ryecourse gateway`
// uses it.
//
// A request of an unsharded route goes to one service, one of a sharded route to
// one service per shard. An upstream is an instance of a service. An attempt sends
// the request to one upstream; attempts beyond the first of a shard are extra
// attempts and draw on the retry budget. An upstream rejects an attempt that it
// didn't run; the gateway refuses a request that it answers without an upstream's
// response.
package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/loadshed"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/reachability"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/retrydetect"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// RequestInfo is what the gateway reads from the headers of a caller's request.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits; valid if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// Key is empty if there is none.
	Key string
}

// Headers translates the headers of callers and upstreams.
type Headers interface {
	upstreamhttp.Inspector
	// ReadRequest reads a caller's headers.
	ReadRequest(h http.Header) RequestInfo
	// AppendRequest appends the request line and the headers that all attempts of
	// a request share.
	AppendRequest(dst []byte, r *http.Request, customer string) []byte
	// AppendAttempt appends the headers of one attempt. remaining is the time until
	// its deadline.
	AppendAttempt(dst []byte, remaining time.Duration, instance string) []byte
	// Signature returns the upstream's signature in the headers of a response; empty if
	// there is none.
	Signature(h http.Header) string
	// CopyResponseHeaders copies an upstream's headers to the caller's response.
	CopyResponseHeaders(dst http.Header, src *fasthttp.ResponseHeader)
	// WriteMergedHeaders writes the headers of a response that was merged from
	// shards. signatures are the upstreams' signatures on the merged responses;
	// missing is the number of shards without a response.
	WriteMergedHeaders(dst http.Header, requestID string, signatures []string, missing int)
	// WriteRetryAfter writes how long a caller should wait before it retries.
	WriteRetryAfter(dst http.Header, d time.Duration)
}

// Limiter enforces the customers' rate limits.
type Limiter interface {
	// Admit takes a token. If there is none, it returns how long to wait before a
	// retry. late is set if the caller has already waited for its latency
	// objective.
	Admit(now time.Time, c *routetable.Customer, late bool) (ok bool, retryAfter time.Duration)
}

// LimitObserver receives the limits that upstreams state in their responses.
type LimitObserver interface {
	// Observe records what a response of an instance states: limited is false if it
	// states no limit. now is on the clock that keeps running while the VM is suspended.
	Observe(now time.Duration, instance string, perSecond float64, limited bool)
}

// Quarantine holds the requests that crash upstreams. Times are on the clock that keeps
// running while the VM is suspended.
type Quarantine interface {
	// Quarantined returns whether a request may not be sent on, and for how long.
	Quarantined(now time.Duration, fingerprint uint64) (time.Duration, bool)
	// Crashes returns the number of instances that have ended while they ran such a
	// request, without a response since.
	Crashes(fingerprint uint64) int
	// AddCrash records that an instance ended while it ran a request to which no
	// upstream has responded.
	AddCrash(now time.Duration, fingerprint, instance uint64)
	// AddResponse records that an upstream has run a request and responded.
	AddResponse(now time.Duration, fingerprint uint64)
}

// Metadata is this VM's copy of the metadata store.
type Metadata interface {
	// View returns nil while there is no configuration.
	View() *metadata.View
	// Age is the time since the view was last confirmed to be current. It includes
	// time in which the VM was suspended.
	Age() time.Duration
	// Refresh requests a read of the store soon, and doesn't wait for it.
	Refresh()
}

// Policy holds the gateway's own time limits.
type Policy struct {
	// MaxKeyStaleness is the metadata age above which requests that need a key or
	// match no route are refused with status 503.
	MaxKeyStaleness time.Duration
	// DefaultTimeout applies to requests without a timeout.
	DefaultTimeout time.Duration
	// CallerOverhead is the part of a route's latency objective that is reserved
	// for the network between the caller and this VM.
	CallerOverhead time.Duration
	// ResponseMargin is the time before a request's deadline that is reserved for
	// sending the response.
	ResponseMargin time.Duration
	// Linger is how long an attempt that is no longer needed may continue, so that
	// its connection can be reused.
	Linger time.Duration
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	policy      Policy
	headers     Headers
	metadata    Metadata
	limiter     Limiter
	limits      LimitObserver
	quarantine  Quarantine
	picker      *placement.Picker
	shedder     *loadshed.Shedder
	retryBudget *retrybudget.Budget
	pools       *Pools
	executors   Executors
	reachable   *reachability.Tracker
	losses      *lossChecker
	log         *eventlog.Log
	metrics     *Metrics

	malformedLoads malformedLoads
	drain          *drain
	remoteQueries  atomic.Int64 // other VMs' queries that are running
	probingLinks   atomic.Bool
	latencies      sync.Map // *fanout.Latency by route name
	responseSizes  connlimit.ResponseSizes
	connections    Connections
	retryDetector  *retrydetect.Tracker
	weights        weightedRoundRobin
	table          *routetable.Table // of the last Update
}

// Dependencies are the settings and collaborators of a Gateway.
type Dependencies struct {
	Policy     Policy
	Headers    Headers
	Metadata   Metadata
	Limiter    Limiter
	Limits     LimitObserver
	Quarantine Quarantine
	Picker     *placement.Picker
	// Shedder rejects requests while upstreams are overloaded.
	Shedder *loadshed.Shedder
	Budget  *retrybudget.Budget
	Pools   *Pools
	// Executors run queries for this VM.
	Executors Executors
	// Reachability decides whether this VM reaches upstreams.
	Reachability *reachability.Tracker
	Log          *eventlog.Log
	Metrics      *Metrics
	// Connections decides whether there is room for responses; nil for no bound.
	Connections Connections
	Rand        *rand.Rand
}

// New returns a gateway.
func New(deps Dependencies) *Gateway {
	g := &Gateway{
		policy: deps.Policy, headers: deps.Headers, metadata: deps.Metadata, limiter: deps.Limiter, limits: deps.Limits, quarantine: deps.Quarantine,
		picker: deps.Picker, shedder: deps.Shedder, retryBudget: deps.Budget, pools: deps.Pools, executors: deps.Executors, reachable: deps.Reachability, log: deps.Log, metrics: deps.Metrics,
		drain: newDrain(), connections: deps.Connections,
		retryDetector: retrydetect.NewTracker(), malformedLoads: malformedLoads{log: deps.Log, metrics: deps.Metrics},
		weights: weightedRoundRobin{rand: deps.Rand, currentWeights: map[string][]float64{}},
	}
	g.losses = &lossChecker{pools: deps.Pools, opensConnections: g.opensConnections, waiting: map[string][]func(upstreamhttp.Liveness){}}
	return g
}

// Update drops the state of routes that are not in the new configuration. It
// must not be called concurrently with itself.
func (g *Gateway) Update(t *routetable.Table) {
	if t == g.table {
		return
	}
	g.table = t
	known := map[string]bool{}
	for i := range t.Config.Routes {
		known[t.Config.Routes[i].Name] = true
	}
	isKnown := func(route string) bool { return known[route] }
	g.retryDetector.RetainRoutes(isKnown)
	g.weights.retainRoutes(isKnown)
	g.responseSizes.Retain(isKnown)
	g.latencies.Range(func(route, _ any) bool {
		if !isKnown(route.(string)) {
			g.latencies.Delete(route)
		}
		return true
	})
}

// latencyFor returns the latency estimate of the route's attempts.
func (g *Gateway) latencyFor(route string) *fanout.Latency {
	if l, ok := g.latencies.Load(route); ok {
		return l.(*fanout.Latency)
	}
	l, _ := g.latencies.LoadOrStore(route, &fanout.Latency{})
	return l.(*fanout.Latency)
}
