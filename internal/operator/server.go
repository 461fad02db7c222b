// Package operator serves the operators' listener: liveness, readiness,
// metrics, status and the audit trail. It takes no callers' and no peers'
// requests.
package operator

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/telemetry"
)

// maxRequestBytes bounds an operator's request. None of them has a body.
const maxRequestBytes = 4 << 10

// Source is what the daemon tells operators.
type Source interface {
	// Ready tells whether the daemon takes callers' requests, and why not.
	Ready() (bool, string)
	// Status returns a value that encodes to the status document.
	Status() any
}

// Server is the operators' listener.
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
		MaxRequestBodySize: maxRequestBytes,
		CloseOnShutdown:    true,
	}
	return s
}

// Serve answers on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown stops the listener.
func (s *Server) Shutdown() error { return s.http.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
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
		since, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("since")), 10, 64)
		writeJSON(ctx, s.trail.Since(since))
	default:
		if strings.HasPrefix(string(ctx.Path()), "/debug/pprof/") {
			pprofhandler.PprofHandler(ctx)
			return
		}
		ctx.Error("unknown path; try /livez, /readyz, /metrics, /status or /audit\n", fasthttp.StatusNotFound)
	}
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
