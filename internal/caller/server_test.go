package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp/fasthttputil"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/keys"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/settings"
	"ryecourse.example/ryecourse/internal/telemetry"
	"ryecourse.example/ryecourse/internal/upstream"
)

const (
	goodKey  = "rye_aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	otherKey = "rye_bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// stub implements every dependency of a Server. No upstream can be reached.
type stub struct {
	catalog *catalog.Catalog
	limited bool
}

func (s *stub) Catalog(time.Time) *catalog.Catalog { return s.catalog }

func (s *stub) Admit(time.Time, string) (bool, time.Duration) {
	return !s.limited, 1200 * time.Millisecond
}

func (s *stub) Acquire(*catalog.Service, *catalog.Customer, time.Time) (ReleaseFunc, *verdict.Refusal) {
	return func(*verdict.Refusal) {}, nil
}

func (s *stub) Plan(svc *catalog.Service, p Params) *scatter.Query {
	return scatter.New(scatter.Spec{
		Service: svc.Name, Layout: svc.Shards, RequestID: p.RequestID, Deadline: p.Deadline,
		MinCoverage: p.MinCoverage,
	}, scatter.Shared{Picker: noReplica{}, Budgets: scatter.NewBudgets(), Policy: scatter.Policy{RetryAfter: time.Second}})
}

// noReplica is a picker without replicas.
type noReplica struct{}

func (noReplica) Pick(time.Time, string, int, []string) (scatter.Target, bool) {
	return scatter.Target{}, false
}

func (noReplica) Done(time.Time, string, int, scatter.Target, scatter.Report) {}

func files(key string) []catalog.File {
	content := fmt.Sprintf(`{
		"customers": {"school": {"rate": 5, "burst": 5, "services": ["orders", "events"], "key_hashes": [%q]}},
		"services": {
			"orders": {"shards": [[{"id": "o-0", "address": "127.0.0.1:1", "zone": "a"}]], "slots": 1, "connections": 9, "deadline_ms": 100},
			"events": {"shards": [[{"id": "e-0", "address": "127.0.0.1:2", "zone": "a"}]], "slots": 1, "connections": 9, "deadline_ms": 100, "open": true},
			"donations": {"shards": [[{"id": "d-0", "address": "127.0.0.1:3", "zone": "a"}]], "slots": 1, "connections": 9, "deadline_ms": 100}
		}, "zones": {"a": {}}}`, keys.Hash(key))
	return []catalog.File{{Name: "10-all.json", Revision: 1, Content: []byte(content)}}
}

func newCatalog(t *testing.T, key string) *catalog.Catalog {
	t.Helper()
	c, problems := catalog.Build(1, files(key))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return c
}

// startServer serves callers on an in-memory listener.
func startServer(t *testing.T, s *stub, limits settings.Limits) (*Server, *fasthttputil.InmemoryListener) {
	t.Helper()
	srv := New(Deps{
		Catalogs: s, Limiter: s, Scheduler: s, Planner: s,
		Pool: upstream.NewPool(nil), Metrics: telemetry.New(), Log: zerolog.Nop(),
	}, limits)
	ln := fasthttputil.NewInmemoryListener()
	go srv.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return srv, ln
}

var (
	requestID      = regexp.MustCompile(`[0-9a-f]{12}-[0-9a-z]+`)
	varyingHeaders = regexp.MustCompile(`(?m)^(Date|Server|Content-Length|Content-Type|X-Request-Id): .*\n`)
)

// roundTrip sends raw bytes and returns the response without the headers and
// IDs that vary.
func roundTrip(t *testing.T, conn net.Conn, raw string) string {
	t.Helper()
	if _, err := conn.Write([]byte(raw)); err != nil {
		t.Fatal(err)
	}
	return readResponse(t, conn)
}

func readResponse(t *testing.T, conn net.Conn) string {
	t.Helper()
	br := bufio.NewReader(conn)
	var out strings.Builder
	for {
		line, err := br.ReadString('\n')
		out.WriteString(line)
		if err != nil || strings.HasPrefix(line, "{") {
			break
		}
	}
	text := strings.ReplaceAll(out.String(), "\r", "")
	return requestID.ReplaceAllString(varyingHeaders.ReplaceAllString(text, ""), "ID")
}

// TestRefusals runs scripts of raw requests. A command's arguments select the
// path, method, key, headers and the state of the server; its input is the
// body.
func TestRefusals(t *testing.T) {
	limits := settings.Default().Limits
	limits.MaxBodyBytes, limits.MaxHeaders = 1024, 12
	datadriven.RunTest(t, "testdata/refusals", func(t *testing.T, d *datadriven.TestData) string {
		s := &stub{catalog: newCatalog(t, goodKey), limited: d.HasArg("limited")}
		if d.HasArg("starting") {
			s.catalog = nil
		}
		srv, ln := startServer(t, s, limits)
		if d.HasArg("draining") {
			srv.Drain()
		}
		conn, err := ln.Dial()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		return roundTrip(t, conn, rawRequest(t, d))
	})
}

func rawRequest(t *testing.T, d *datadriven.TestData) string {
	path, method, key := "/v1/services/orders/query", "POST", goodKey
	d.MaybeScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "method", &method)
	d.MaybeScanArgs(t, "key", &key)
	body := strings.NewReplacer("KEY", goodKey, "LARGE", strings.Repeat("x", 2000)).Replace(d.Input)
	headers := ""
	if key != "none" {
		headers = "Authorization: Bearer " + strings.Replace(key, "OTHER", otherKey, 1) + "\r\n"
	}
	if d.HasArg("many-headers") {
		for i := range 20 {
			headers += fmt.Sprintf("X-H%d: 1\r\n", i)
		}
	}
	if d.HasArg("large-header") {
		headers += "X-Large: " + strings.Repeat("x", 20<<10) + "\r\n"
	}
	path = strings.Replace(path, "KEY", goodKey, 1)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", method, path, headers, len(body), body)
}

// TestWithdrawnKeyOnKeptConnection revokes a key between two requests on one
// keep-alive connection. The second one must be refused.
func TestWithdrawnKeyOnKeptConnection(t *testing.T) {
	s := &stub{catalog: newCatalog(t, goodKey)}
	_, ln := startServer(t, s, settings.Default().Limits)
	conn, err := ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw := "POST /v1/services/orders/query HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + goodKey + "\r\nContent-Length: 11\r\n\r\n{\"query\":1}"
	if got := roundTrip(t, conn, raw); strings.Contains(got, "unknown_key") {
		t.Fatalf("refused before the revocation: %s", got)
	}
	s.catalog = newCatalog(t, otherKey)
	if got := roundTrip(t, conn, raw); !strings.Contains(got, "unknown_key") {
		t.Fatalf("answered after the revocation: %s", got)
	}
}

// TestSlowSender sends a part of a request and then nothing until the read
// timeout.
func TestSlowSender(t *testing.T) {
	limits := settings.Default().Limits
	limits.ReadTimeoutMs = 10
	srv, _ := startServer(t, &stub{catalog: newCatalog(t, goodKey)}, limits)
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the in-memory listener returns error types of its own
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go srv.Serve(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got := roundTrip(t, conn, "POST /v1/services/orders/query HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{")
	if !strings.Contains(got, "took too long") || !strings.Contains(got, `"verdict":"not_run"`) {
		t.Fatalf("response %q", got)
	}
}

// slowScheduler holds a request in progress until release is closed.
type slowScheduler struct {
	*stub
	acquiring, release chan struct{}
}

func (s *slowScheduler) Acquire(*catalog.Service, *catalog.Customer, time.Time) (ReleaseFunc, *verdict.Refusal) {
	close(s.acquiring)
	<-s.release
	return func(*verdict.Refusal) {}, nil
}

// TestDrainCutsNoRequest shuts the server down while a request runs. That
// request must get its answer. A request that arrives on an open connection
// after the drain must be refused.
func TestDrainCutsNoRequest(t *testing.T) {
	s := &stub{catalog: newCatalog(t, goodKey)}
	scheduler := &slowScheduler{stub: s, acquiring: make(chan struct{}), release: make(chan struct{})}
	srv := New(Deps{
		Catalogs: s, Limiter: s, Scheduler: scheduler, Planner: s,
		Pool: upstream.NewPool(nil), Metrics: telemetry.New(), Log: zerolog.Nop(),
	}, settings.Default().Limits)
	ln := fasthttputil.NewInmemoryListener()
	go srv.Serve(ln)
	running, err := ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	late, err := ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	raw := "POST /v1/services/orders/query HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + goodKey + "\r\nContent-Length: 11\r\n\r\n{\"query\":1}"
	if _, err := running.Write([]byte(raw)); err != nil {
		t.Fatal(err)
	}
	<-scheduler.acquiring
	srv.Drain()
	if got := roundTrip(t, late, raw); !strings.Contains(got, `"not_ready"`) {
		t.Fatalf("response after the drain: %s", got)
	}
	stopped := make(chan error)
	go func() { stopped <- srv.Shutdown(context.Background()) }()
	close(scheduler.release)
	if got := readResponse(t, running); !strings.Contains(got, `"code":"unavailable"`) {
		t.Fatalf("response to the running request: %q", got)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
