package operator

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/telemetry"
)

type fakeSource struct{}

func (fakeSource) Ready() (bool, string) { return false, "starting" }
func (fakeSource) Status() any           { return map[string]string{"vm": "vm-1"} }

func start(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	metrics := telemetry.New()
	metrics.Request(`a"b\c`+"\n", "č", "ok")
	s := New(fakeSource{}, audit.New(zerolog.Nop()), metrics)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return ln.Addr().String()
}

// sendRaw sends the bytes of a request unchanged and returns the status and the
// body of the response.
func sendRaw(t *testing.T, addr, request string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go fmt.Fprint(c, request) // The server may respond before the request is sent in full.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", request, err)
	}
	defer resp.Body.Close()
	var body strings.Builder
	if _, err := bufio.NewReader(resp.Body).WriteTo(&body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body.String()
}

func TestRequests(t *testing.T) {
	addr := start(t)
	long := strings.Repeat("x", 64<<10)
	for request, want := range map[string]int{
		"GET /livez HTTP/1.1\r\nHost: a\r\n\r\n":                                   200,
		"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n":                                  503,
		"GET /status HTTP/1.1\r\nHost: a\r\n\r\n":                                  200,
		"GET /audit HTTP/1.1\r\nHost: a\r\n\r\n":                                   200,
		"GET /audit?since=0 HTTP/1.1\r\nHost: a\r\n\r\n":                           200,
		"GET /audit?since=18446744073709551615 HTTP/1.1\r\nHost: a\r\n\r\n":        200,
		"GET /audit?since= HTTP/1.1\r\nHost: a\r\n\r\n":                            400,
		"GET /audit?since=-1 HTTP/1.1\r\nHost: a\r\n\r\n":                          400,
		"GET /audit?since=1e3 HTTP/1.1\r\nHost: a\r\n\r\n":                         400,
		"GET /audit?since=99999999999999999999 HTTP/1.1\r\nHost: a\r\n\r\n":        400,
		"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n":            405,
		"GET /v1/services/a/query HTTP/1.1\r\nHost: a\r\n\r\n":                     404,
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n":                     431,
		"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + long: 413,
		"garbage\r\n\r\n": 400,
	} {
		if got, body := sendRaw(t, addr, request); got != want {
			t.Errorf("%.60q: %d, want %d: %.80s", request, got, want, body)
		}
	}
}

// TestConnectionsAreLimited opens as many connections as allowed and requires that
// one more is refused.
func TestConnectionsAreLimited(t *testing.T) {
	addr := start(t)
	for range maxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if got, _ := sendRaw(t, addr, "GET /livez HTTP/1.1\r\nHost: a\r\n\r\n"); got != http.StatusServiceUnavailable {
		t.Errorf("status %d beyond the connection limit", got)
	}
}

// sampleLine is a sample in the Prometheus text format.
var sampleLine = regexp.MustCompile(`^[a-zA-Z_:][a-zA-Z0-9_:]*(\{([a-zA-Z_]\w*="([^"\\\n]|\\["\\n])*"(, ?)?)*\})? \S+$`)

func TestMetricsPage(t *testing.T) {
	_, page := sendRaw(t, start(t), "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
	for line := range strings.Lines(page) {
		line = strings.TrimSuffix(line, "\n")
		if line != "" && !strings.HasPrefix(line, "#") && !sampleLine.MatchString(line) {
			t.Errorf("not a sample: %q", line)
		}
	}
	for _, want := range []string{
		`ryecourse_requests_total{service="a\"b\\c\n",customer="č",code="ok"} 1`,
		"ryecourse_invariant_violations 0",
	} {
		if !strings.Contains(page, want+"\n") {
			t.Errorf("the page lacks %s", want)
		}
	}
}
