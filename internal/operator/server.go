// Package operator serves the operators' listener: liveness, readiness,
// metrics, status, the audit trail and profiles. It serves neither callers nor
// peers. `ryecourse serve` uses it.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/telemetry"
)

const (
	// maxRequestBytes is the maximum size of a request body. No operator request
	// needs one.
	maxRequestBytes = 4 << 10
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 8 << 10
	// maxConnections bounds the open connections.
	maxConnections = 64
	// readTimeout bounds the time in which a request arrives.
	readTimeout = 5 * time.Second
	// idleTimeout is how long a keep-alive connection may be idle. It is longer
	// than the interval of metrics scrapers.
	idleTimeout = 2 * time.Minute
)

// MaxConnections bounds the open connections.
const MaxConnections = maxConnections

// Source provides the state of the daemon for operators.
type Source interface {
	// Ready reports whether the daemon accepts requests of callers, and the
	// reason if it doesn't.
	Ready() (bool, string)
	// Status returns a value that encodes to the status document.
	Status() any
}

// Server is the HTTP server for operators.
type Server struct {
	source  Source
	trail   *audit.Trail
	metrics *telemetry.Metrics
	http    *fasthttp.Server
}

// New returns a server that is not listening yet.
func New(source Source, trail *audit.Trail, metrics *telemetry.Metrics) *Server {
	s := &Server{source: source, trail: trail, metrics: metrics}
	s.http = &fasthttp.Server{
		Name:               "ryecourse",
		Handler:            s.handle,
		ErrorHandler:       handleReadError,
		MaxRequestBodySize: maxRequestBytes,
		ReadBufferSize:     maxHeaderBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		Concurrency:        maxConnections,
		ConnState:          onState,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
	return s
}

// onState follows the requests of limited connections.
func onState(c net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		connlimit.Of(c).OnRequest()
	case fasthttp.StateIdle:
		connlimit.Of(c).OnAnswered()
	}
}

// discardLogger drops fasthttp's own log lines, which would quote requests.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// handleReadError responds to requests that fasthttp could not read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		ctx.Error("the headers are too large\n", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("no request here has a body\n", fasthttp.StatusRequestEntityTooLarge)
	default:
		ctx.Error("not a valid request, or too slow\n", fasthttp.StatusBadRequest)
	}
	ctx.SetConnectionClose()
}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown stops the listener, and waits for open requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() && !ctx.IsHead() {
		ctx.Error("only GET and HEAD\n", fasthttp.StatusMethodNotAllowed)
		return
	}
	switch string(ctx.Path()) {
	case "/livez":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.ready(ctx)
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		s.metrics.Write(ctx)
	case "/status":
		writeJSON(ctx, s.source.Status())
	case "/audit":
		s.audit(ctx)
	default:
		if strings.HasPrefix(string(ctx.Path()), "/debug/pprof/") {
			pprofhandler.PprofHandler(ctx)
			return
		}
		ctx.Error("unknown path; try /livez, /readyz, /metrics, /status or /audit\n", fasthttp.StatusNotFound)
	}
}

// audit responds with the entries after the sequence number in the parameter
// since, or with all entries if it is absent.
func (s *Server) audit(ctx *fasthttp.RequestCtx) {
	var since uint64
	if args := ctx.QueryArgs(); args.Has("since") {
		var err error
		if since, err = strconv.ParseUint(string(args.Peek("since")), 10, 64); err != nil {
			ctx.Error("since must be the sequence number of an entry\n", fasthttp.StatusBadRequest)
			return
		}
	}
	writeJSON(ctx, s.trail.Since(since))
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	ok, why := s.source.Ready()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(why + "\n")
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
