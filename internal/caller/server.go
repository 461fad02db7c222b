// Package caller is the HTTP/JSON server for callers of the query tier. The
// protocol is described in docs/API.md. `ryecourse serve` uses it.
//
// A caller is a client of the query tier; the query tier is the set of daemons of
// `ryecourse serve`.
//
// Every request ends with exactly one answer or refusal. When a query fails or
// reaches its deadline, the caller is answered at once, without waiting for
// canceled attempts.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/graceful"
	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/internal/settings"
	"ryecourse.example/ryecourse/internal/telemetry"
	"ryecourse.example/ryecourse/internal/upstream"
)

// restartRetryAfter is the Retry-After value while this daemon starts or stops.
// Another daemon can serve the request at once.
const restartRetryAfter = time.Second

// unconfirmedRetryAfter is the Retry-After value while it isn't known whether a
// key was revoked. Other daemons may know, and daemons exchange digests every
// half second.
const unconfirmedRetryAfter = time.Second

// CatalogSource provides the active catalog.
type CatalogSource interface {
	// Catalog returns the catalog that is active at now, or nil if this daemon
	// has none that it may use.
	Catalog(now time.Time) *catalog.Catalog
}

// Limiter admits requests within the customers' rates and bursts.
type Limiter interface {
	// Admit takes one request from the customer's rate limit. If it returns
	// false, the duration is the time until a request can be admitted.
	Admit(now time.Time, customer string) (bool, time.Duration)
}

// Scheduler limits the concurrent queries of a service and divides them among
// customers.
type Scheduler interface {
	// Acquire waits for a permit until the deadline. A nil customer stands for
	// callers without a key.
	Acquire(s *catalog.Service, customer *catalog.Customer, deadline time.Time) (ReleaseFunc, *verdict.Refusal)
}

// ReleaseFunc returns the permit. Its argument is the refusal that ended the
// query, or nil.
type ReleaseFunc func(*verdict.Refusal)

// Planner prepares the queries of a service.
type Planner interface {
	// Plan returns the state machine of one query.
	Plan(s *catalog.Service, p Params) *scatter.Query
}

// Params are the parameters of one query.
type Params struct {
	RequestID   string
	Deadline    time.Time
	MinCoverage float64
	RoutingKey  string
}

// Deps are the dependencies of a Server.
type Deps struct {
	Catalogs  CatalogSource
	Limiter   Limiter
	Scheduler Scheduler
	Planner   Planner
	Pool      *upstream.Pool
	Metrics   *telemetry.Metrics
	Log       zerolog.Logger
	// Memory bounds that of upstreams' responses; nil for no bound.
	Memory respbody.Account
}

// Server is the HTTP server for callers.
type Server struct {
	deps Deps
	// maxHeaders is the largest number of headers of a request.
	maxHeaders int
	maxBody    int64
	sizes      connlimit.ResponseSizes // by service
	ids        *idSource
	draining   atomic.Bool
	stopped    chan struct{} // closed when running requests must end
	running    atomic.Int64
	http       *fasthttp.Server
	listener   atomic.Pointer[graceful.Listener] // nil before Serve
}

// New returns a server that is not listening yet.
func New(deps Deps, limits settings.Limits) *Server {
	s := &Server{deps: deps, maxHeaders: limits.MaxHeaders, maxBody: int64(limits.MaxBodyBytes), ids: newIDSource(), stopped: make(chan struct{})}
	s.http = &fasthttp.Server{
		Name:               "ryecourse",
		Handler:            s.handle,
		ErrorHandler:       s.onReadError,
		ReadBufferSize:     limits.MaxHeaderBytes,
		MaxRequestBodySize: limits.MaxBodyBytes,
		// Bodies are read by the handler, which knows whether there is room for them.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ConnState:                    s.onState,
		ReadTimeout:                  limits.ReadTimeout(),
		IdleTimeout:                  limits.IdleTimeout(),
		Concurrency:                  limits.MaxConnections,
		CloseOnShutdown:              true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's log lines, which would quote requests.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve handles requests on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	l := graceful.NewListener(ln, graceful.Policy{HeadTimeout: s.http.ReadTimeout, OnCut: s.logCut})
	s.listener.Store(l)
	defer l.OnServed()
	return s.http.Serve(l)
}

func (s *Server) logCut(c graceful.Cut) {
	s.deps.Log.Warn().Stringer("caller", c.Caller).Dur("age_ms", c.Age).Msg("connection cut")
}

// onState implements fasthttp.Server.ConnState.
func (s *Server) onState(c net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		s.listener.Load().OnState(c, http.StateActive)
	case fasthttp.StateIdle:
		s.listener.Load().OnState(c, http.StateIdle)
	}
}

// Drain makes the server refuse new requests while running ones complete.
func (s *Server) Drain() { s.draining.Store(true) }

// EndRunning ends the running requests as at their deadlines. It may be called once.
func (s *Server) EndRunning() { close(s.stopped) }

// Running returns the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Shutdown closes the listener and waits for open requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	l := s.listener.Load()
	if l == nil {
		return nil
	}
	_, err := l.Drain(ctx, time.Now())
	return errors.Join(err, s.http.ShutdownWithContext(ctx))
}

// onReadError answers a request that fasthttp could not read.
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
	req := &request{
		server: s, ctx: ctx, conn: connlimit.Of(ctx.Conn()), id: s.ids.next(), start: start, hold: upstream.NewHold(s.deps.Memory),
	}
	defer req.release()
	answer, refusal := req.serve()
	if refusal == nil {
		refusal = req.chargeAnswer(answer)
	}
	code := "ok"
	if refusal != nil {
		code = string(refusal.Code)
		writeRefusal(ctx, req.id, refusal)
	} else {
		writeAnswer(ctx, req.id, answer)
		req.hold.Release()
	}
	s.observe(req, answer, code)
}

// observe records the metrics and the log line of a finished request. Only
// names from the catalog become labels, so that callers can't create time
// series.
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

// stripControlChars removes control characters from a header value that is
// forwarded.
func stripControlChars(v []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, string(v))
}
