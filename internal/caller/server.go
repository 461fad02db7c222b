// Package caller serves the callers' listener over HTTP and JSON. The interface
// is in docs/API.md.
//
// The goroutine that serves a request runs its query. Every request ends with
// exactly one answer or refusal, and a request that is given up on is refused
// at once.
package caller

import (
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/settings"
	"ryecourse.example/ryecourse/internal/telemetry"
	"ryecourse.example/ryecourse/internal/upstream"
)

// restartRetryAfter is the advice of a daemon that starts or stops: another
// daemon can take the request at once.
const restartRetryAfter = time.Second

// unconfirmedRetryAfter is the advice while it isn't known whether a key was
// withdrawn. Other daemons may know, and these exchange every half second.
const unconfirmedRetryAfter = time.Second

// CatalogSource gives the newest configuration.
type CatalogSource interface {
	// Catalog returns the catalog in force at now, or nil when this daemon has
	// none that it may act on.
	Catalog(now time.Time) *catalog.Catalog
}

// Limiter admits requests within the customers' rates and bursts.
type Limiter interface {
	// Admit spends one request of the customer's limit. When it refuses, the
	// duration is the wait after which a request can be admitted.
	Admit(now time.Time, customer string) (bool, time.Duration)
}

// Scheduler shares the capacity of a service among customers.
type Scheduler interface {
	// Acquire waits for a place until the deadline. A nil customer stands for a
	// caller without a key.
	Acquire(s *catalog.Service, customer *catalog.Customer, deadline time.Time) (ReleaseFunc, *verdict.Refusal)
}

// ReleaseFunc gives a place back with the refusal that ended the query, or nil.
type ReleaseFunc func(*verdict.Refusal)

// Planner prepares the queries of a service.
type Planner interface {
	// Plan returns the state machine of one query.
	Plan(s *catalog.Service, p Params) *scatter.Query
}

// Params are what a caller decides of a query.
type Params struct {
	RequestID   string
	Deadline    time.Time
	MinCoverage float64
	RoutingKey  string
}

// Deps are the parts that a Server uses.
type Deps struct {
	Catalogs  CatalogSource
	Limiter   Limiter
	Scheduler Scheduler
	Planner   Planner
	Pool      *upstream.Pool
	Metrics   *telemetry.Metrics
	Log       zerolog.Logger
}

// Server is the callers' listener.
type Server struct {
	deps Deps
	// maxHeaders is the largest number of headers of a request.
	maxHeaders int
	ids        *idSource
	draining   atomic.Bool
	running    atomic.Int64
	http       *fasthttp.Server
}

// New returns a server that is not listening yet.
func New(deps Deps, limits settings.Limits) *Server {
	s := &Server{deps: deps, maxHeaders: limits.MaxHeaders, ids: newIDSource()}
	s.http = &fasthttp.Server{
		Name:                  "ryecourse",
		Handler:               s.handle,
		ErrorHandler:          s.onReadError,
		ReadBufferSize:        limits.MaxHeaderBytes,
		MaxRequestBodySize:    limits.MaxBodyBytes,
		ReadTimeout:           limits.ReadTimeout(),
		IdleTimeout:           limits.IdleTimeout(),
		Concurrency:           limits.MaxConnections,
		CloseOnShutdown:       true,
		NoDefaultContentType:  true,
		SecureErrorLogMessage: true,
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's own log lines, which would quote requests.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Drain refuses new requests and lets running ones end.
func (s *Server) Drain() { s.draining.Store(true) }

// Running returns the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Shutdown closes the listener and waits for open requests.
func (s *Server) Shutdown() error { return s.http.Shutdown() }

// onReadError answers what fasthttp could not read.
func (s *Server) onReadError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	id := s.ids.next()
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	var r *verdict.Refusal
	switch {
	case errors.As(err, &small):
		r = verdict.Refuse(verdict.CodeTooLarge, 0, "The request's headers are too large.")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = verdict.Refuse(verdict.CodeTooLarge, 0, "The request's body is too large.")
	case errors.As(err, &netErr) && netErr.Timeout():
		r = verdict.Refuse(verdict.CodeBadRequest, 0, "The request took too long to arrive.")
	default:
		r = verdict.Refuse(verdict.CodeBadRequest, 0, "The request isn't valid HTTP.")
	}
	s.deps.Metrics.Request("", "", string(r.Code))
	writeRefusal(ctx, id, r)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.running.Add(1)
	defer s.running.Add(-1)
	start := time.Now()
	req := &request{server: s, ctx: ctx, id: s.ids.next(), start: start}
	answer, refusal := req.serve()
	code := "ok"
	if refusal != nil {
		code = string(refusal.Code)
		writeRefusal(ctx, req.id, refusal)
	} else {
		writeAnswer(ctx, req.id, answer)
	}
	s.observe(req, answer, code)
}

// observe counts and logs the end of a request. Only names from the catalog
// become labels, so that callers can't create metrics.
func (s *Server) observe(req *request, a *scatter.Answer, code string) {
	took := time.Since(req.start)
	service, customer := "", ""
	if req.service != nil {
		service = req.service.Name
		s.deps.Metrics.Latency(service, took)
	}
	if req.customer != nil {
		customer = req.customer.Name
	}
	s.deps.Metrics.Request(service, customer, code)
	if a != nil {
		s.deps.Metrics.Attempts(service, a.Attempts, a.Hedges)
		s.deps.Metrics.MissingShards(service, len(a.Missing))
	}
	s.deps.Log.Debug().Str("request_id", req.id).Str("service", service).Str("customer", customer).
		Str("code", code).Dur("took_ms", took).Msg("request")
}

// stripControlChars drops control characters from a header value that is passed on.
func stripControlChars(v []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, string(v))
}
