// Package gateway serves callers' own HTTP requests from upstreams: it looks up
// the route, checks the key and the customer's rate, forwards the request to one
// upstream or to one of each shard, and answers.
package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/retrydetect"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
	"ryecourse.example/ryecourse/internal/exchange"
)

// RequestInfo is what a caller's headers say about a request.
type RequestInfo struct {
	ID string
	// Timeout is how long the caller waits, if HasBudget is set.
	Timeout    time.Duration
	HasTimeout bool
	// Key is empty if there is none.
	Key string
}

// Headers translates the headers of callers and upstreams.
type Headers interface {
	exchange.Inspector
	// ReadRequest reads a caller's headers.
	ReadRequest(h http.Header) RequestInfo
	// AppendRequest appends the request line and the headers that all attempts of
	// a request have in common.
	AppendRequest(dst []byte, r *http.Request, customer string) []byte
	// AppendAttempt appends the headers of one attempt.
	AppendAttempt(dst []byte, left time.Duration, instance string) []byte
	// CopyResponseHeaders copies an upstream's headers to the caller's answer.
	CopyResponseHeaders(dst http.Header, src *fasthttp.ResponseHeader)
	// WriteMergedHeaders writes the headers of an answer that was merged from shards.
	WriteMergedHeaders(dst http.Header, requestID string, receipts []string, missing int)
	// WriteRetryAfter tells a caller when to come back.
	WriteRetryAfter(dst http.Header, d time.Duration)
}

// Limiter admits customers' requests within their rates.
type Limiter interface {
	// Admit takes a token. If there is none, it returns when to come back. Late
	// requests can't be answered in time any more.
	Admit(now time.Time, c *routetable.Customer, late bool) (ok bool, retryAfter time.Duration)
}

// Metadata is what the VM knows from the metadata store.
type Metadata interface {
	// View returns nil as long as no configuration is known.
	View() *metadata.View
	// Age is the time since the store was last known to hold nothing newer. It
	// counts suspensions of the VM.
	Age() time.Duration
}

// Policy holds the gateway's own time limits.
type Policy struct {
	// MaxKeyStaleness is the age of knowledge from which requests with a key are
	// rejected.
	MaxKeyStaleness time.Duration
	// DefaultTimeout applies to requests that don't tell theirs.
	DefaultTimeout time.Duration
	// CallerOverhead is taken from a route's latency objective for the way to the
	// caller and back.
	CallerOverhead time.Duration
	// ResponseMargin is kept from a request's deadline to answer in time.
	ResponseMargin time.Duration
	// Linger is how long an attempt that is no longer needed may go on, so that
	// its connection can be kept.
	Linger time.Duration
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	policy      Policy
	headers     Headers
	knowledge   Metadata
	limiter     Limiter
	picker      *placement.Picker
	retryBudget *retrybudget.Budget
	pools       *Pools
	log         *eventlog.Log
	metrics     *Metrics

	stopping      atomic.Bool
	latencies     sync.Map // route name to *fanout.Latency
	retryDetector *retrydetect.Tracker
	weights       weightedRoundRobin
	table         *routetable.Table // of the last Update
}

// Dependencies are what a Gateway is built of.
type Dependencies struct {
	Policy   Policy
	Headers  Headers
	Metadata Metadata
	Limiter  Limiter
	Picker   *placement.Picker
	Budget   *retrybudget.Budget
	Pools    *Pools
	Log      *eventlog.Log
	Metrics  *Metrics
	Rand     *rand.Rand
}

// New returns a gateway.
func New(p Dependencies) *Gateway {
	return &Gateway{
		policy: p.Policy, headers: p.Headers, knowledge: p.Metadata, limiter: p.Limiter,
		picker: p.Picker, retryBudget: p.Budget, pools: p.Pools, log: p.Log, metrics: p.Metrics,
		retryDetector: retrydetect.NewTracker(),
		weights:       weightedRoundRobin{rand: p.Rand, currentWeights: map[string][]float64{}},
	}
}

// StartDraining makes further answers ask callers to close their connections.
func (g *Gateway) StartDraining() { g.stopping.Store(true) }

// Update forgets what it knows of routes that a new configuration doesn't have. It
// isn't safe for concurrent use with itself.
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
	g.latencies.Range(func(route, _ any) bool {
		if !isKnown(route.(string)) {
			g.latencies.Delete(route)
		}
		return true
	})
}

// latencyFor returns the estimate of the route's attempts.
func (g *Gateway) latencyFor(route string) *fanout.Latency {
	if l, ok := g.latencies.Load(route); ok {
		return l.(*fanout.Latency)
	}
	l, _ := g.latencies.LoadOrStore(route, &fanout.Latency{})
	return l.(*fanout.Latency)
}
