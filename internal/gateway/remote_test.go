package gateway

import (
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// retryAfterHeaders implements what refusals need of Headers.
type retryAfterHeaders struct{ Headers }

// WriteRetryAfter implements Headers.
func (retryAfterHeaders) WriteRetryAfter(dst http.Header, _ time.Duration) {
	dst.Set("Retry-After", "1")
}

// TestRemoteFailureIsNotRunOnlyIfItSaysSo guards the guarantee of statuses 429 and 503
// against an executor whose failure doesn't go with its verdict.
func TestRemoteFailureIsNotRunOnlyIfItSaysSo(t *testing.T) {
	for name, test := range map[string]struct {
		result executor.Result
		status int
	}{
		"not run":              {executor.Result{Failure: string(ReasonNoUpstream), NotRun: true}, http.StatusServiceUnavailable},
		"not run, but it may":  {executor.Result{Failure: string(ReasonNoUpstream)}, http.StatusBadGateway},
		"timed out":            {executor.Result{Failure: string(ReasonTimedOut)}, http.StatusGatewayTimeout},
		"upstreams failed":     {executor.Result{Failure: string(ReasonUpstreamsFailed)}, http.StatusBadGateway},
		"failure of a release": {executor.Result{Failure: "of another release", NotRun: true}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{headers: retryAfterHeaders{}, drain: newDrain()}
			in := &incoming{route: &routetable.Route{Sharded: &routetable.Sharded{}}}
			w := httptest.NewRecorder()
			if r := g.respondRemote(in, w, "10.0.0.1:1", test.result); w.Code != test.status || r.status != test.status {
				t.Errorf("status %d, recorded as %d, want %d", w.Code, r.status, test.status)
			}
			if got := w.Header().Get("Retry-After") != ""; got != (test.status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After is set: %v, with status %d", got, w.Code)
			}
		})
	}
}

// Signature implements Headers.
func (retryAfterHeaders) Signature(h http.Header) string { return h.Get("Signature") }

// TestUnsignedResultOfAnotherVM guards against a success without an upstream's signature that
// a VM with an older build has passed on.
func TestUnsignedResultOfAnotherVM(t *testing.T) {
	signed := []executor.Header{{Name: "Signature", Value: "s"}}
	for name, test := range map[string]struct {
		result executor.Result
		valid  bool
	}{
		"signed":             {executor.Result{Status: 200, Headers: signed}, true},
		"merged":             {executor.Result{Signatures: []string{"s"}}, true},
		"server error":       {executor.Result{Status: 500}, true},
		"failure":            {executor.Result{Failure: string(ReasonTimedOut)}, true},
		"unsigned":           {executor.Result{Status: 200}, false},
		"unsigned denial":    {executor.Result{Status: 404}, false},
		"merged of nothing":  {executor.Result{}, false},
		"status below 200":   {executor.Result{Status: 99, Headers: signed}, false},
		"status above 599":   {executor.Result{Status: 600, Headers: signed}, false},
		"guarantee, not run": {executor.Result{Status: 503, Headers: signed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{headers: retryAfterHeaders{}, metrics: NewMetrics(metrics.NewSet())}
			err := g.checkRemoteResult(&test.result)
			var failure *ExecuteError
			switch {
			case test.valid && err != nil:
				t.Errorf("a valid result is rejected: %v", err)
			case !test.valid && !errors.As(err, &failure):
				t.Errorf("an invalid result is accepted: %v", err)
			case !test.valid && failure.NotRun:
				t.Error("the request is said not to have run")
			}
		})
	}
}

// TestShardZones checks which zones' executors may be asked.
func TestShardZones(t *testing.T) {
	in := func(zones ...string) []routetable.Upstream {
		var out []routetable.Upstream
		for _, z := range zones {
			out = append(out, routetable.Upstream{Zone: z, Draining: z == "draining"})
		}
		return out
	}
	v := &metadata.View{
		Upstreams: map[string][]routetable.Upstream{
			"s0": in("a", "a", "b", "draining"), "s1": in("a", "b", "evacuated"), "s2": in("a", "c", "evacuated"),
			"s3": in("a", "evacuated"), "s4": in("a", "draining"),
		},
		Evacuated: map[string]bool{"evacuated": true},
	}
	route := &routetable.Route{Sharded: &routetable.Sharded{Shards: []string{"s0", "s1", "s2", "s3", "s4"}}}
	got := slices.Sorted(maps.Keys(shardZones(v, route)))
	if want := []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("zones are %v, want %v: c has an upstream of one shard in five", got, want)
	}
}
