package leaf

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testSeed = 7

func startLeaf(t *testing.T, change func(*Config)) *Leaf {
	t.Helper()
	cfg := Config{
		ID:              "ps-0-a",
		Address:         "127.0.0.1:0",
		Zone:            "cz-a",
		Service:         "proof-studio",
		Snapshots:       []Snapshot{{ID: "s1", Shards: 4}},
		Policy:          Policy{Slots: 1, Queue: 1, MaxSnapshots: 2},
		Seed:            testSeed,
		AttemptLogLimit: 100,
		Secrets:         []string{"rk_secret"},
	}
	if change != nil {
		change(&cfg)
	}
	l := New(cfg)
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Crash)
	return l
}

// request returns a raw query request.
func request(id, snapshot, extra string) string {
	return fmt.Sprintf("POST /v1/query HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: %s\r\nX-Request-Id: r\r\nX-Service: proof-studio\r\nX-Shard: 0\r\nX-Snapshot: %s\r\n%sContent-Length: 2\r\n\r\n{}", id, snapshot, extra)
}

func dial(t *testing.T, l *Leaf, raw string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", l.Status(time.Now()).Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func read(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// waitFor polls until the condition holds. If it never does, the test ends with
// the test binary's timeout.
func waitFor(l *Leaf, cond func(s Status) bool) {
	for !cond(l.Status(time.Now())) {
		time.Sleep(time.Millisecond)
	}
}

func TestAnswerEchoesHeadersAndHasExpectedBody(t *testing.T) {
	l := startLeaf(t, nil)
	_, r := dial(t, l, request("a1", "s1", ""))
	resp, body := read(t, r)
	want := string(AppendAnswer(nil, "proof-studio", 0, "s1", QueryDigest([]byte("{}")), 0))
	if resp.StatusCode != http.StatusOK || body != want {
		t.Errorf("status %d, body %s, want %s", resp.StatusCode, body, want)
	}
	for name, value := range map[string]string{
		"X-Attempt-Id": "a1", "X-Service": "proof-studio", "X-Shard": "0",
		"X-Snapshot": "s1", "X-Snapshot-Shards": "4", "X-Instance": "ps-0-a#1",
	} {
		if got := resp.Header.Get(name); got != value {
			t.Errorf("%s: %q, want %q", name, got, value)
		}
	}
}

func TestAnswersDifferByShardSnapshotAndQuery(t *testing.T) {
	seen := make(map[string]string)
	for shard := range 3 {
		for _, snapshot := range []string{"s1", "s2"} {
			for _, query := range []string{`{"q":1}`, `{"q":2}`} {
				name := fmt.Sprint(shard, snapshot, query)
				answer := string(AppendAnswer(nil, "x", shard, snapshot, QueryDigest([]byte(query)), 100))
				if other, ok := seen[answer]; ok {
					t.Errorf("%s and %s have the same answer", name, other)
				}
				seen[answer] = name
			}
		}
	}
}

func TestRejectionsAreMarkedNotRunAndLogNoStart(t *testing.T) {
	for _, test := range []struct {
		name, snapshot string
		prepare        func(*Leaf)
		status         int
		header, value  string
	}{
		{"snapshot missing", "s9", func(l *Leaf) { l.Publish(Snapshot{"s2", 5}) }, http.StatusConflict, "X-Snapshots", "s2:5,s1:4"},
		{"draining", "s1", func(l *Leaf) { l.SetDraining(true) }, http.StatusServiceUnavailable, "X-Draining", "1"},
	} {
		l := startLeaf(t, nil)
		test.prepare(l)
		_, r := dial(t, l, request("a1", test.snapshot, ""))
		resp, _ := read(t, r)
		if resp.StatusCode != test.status || resp.Header.Get("X-Not-Run") != "1" || resp.Header.Get(test.header) != test.value {
			t.Errorf("%s: %d %v", test.name, resp.StatusCode, resp.Header)
		}
		if records := l.AttemptLog(0).Records; len(records) != 1 || records[0].Started {
			t.Errorf("%s: log %+v", test.name, records)
		}
	}
}

func TestShedsBeyondSlotsAndQueue(t *testing.T) {
	l := startLeaf(t, func(c *Config) { c.Policy.ServiceMS = 3_600_000 })
	running, _ := dial(t, l, request("a1", "s1", ""))
	waitFor(l, func(s Status) bool { return s.Running == 1 })
	queued, _ := dial(t, l, request("a2", "s1", ""))
	waitFor(l, func(s Status) bool { return s.Queued == 1 })
	_, r := dial(t, l, request("a3", "s1", ""))
	resp, _ := read(t, r)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Not-Run") != "1" {
		t.Errorf("third request: %d %v", resp.StatusCode, resp.Header)
	}
	_ = queued.Close()
	waitFor(l, func(s Status) bool { return s.Counters.CanceledQueued == 1 && s.Queued == 0 })
	_ = running.Close()
	waitFor(l, func(s Status) bool { return s.Counters.Canceled == 1 && s.Running == 0 })
}

func TestDeadlineEndsQueuedAndRunningRequests(t *testing.T) {
	l := startLeaf(t, func(c *Config) { c.Policy.ServiceMS = 3_600_000 })
	dial(t, l, request("a1", "s1", ""))
	waitFor(l, func(s Status) bool { return s.Running == 1 })
	_, r := dial(t, l, request("a2", "s1", "X-Deadline-Ms: 1\r\n"))
	if resp, _ := read(t, r); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Not-Run") != "1" {
		t.Errorf("expired in the queue: %d %v", resp.StatusCode, resp.Header)
	}
	l = startLeaf(t, func(c *Config) { c.Policy.ServiceMS = 3_600_000 })
	_, r = dial(t, l, request("a1", "s1", "X-Deadline-Ms: 1\r\n"))
	if resp, _ := read(t, r); resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get("X-Not-Run") != "" {
		t.Errorf("expired while running: %d %v", resp.StatusCode, resp.Header)
	}
}

func TestCrashResetsConnectionsAndRestartChangesInstance(t *testing.T) {
	l := startLeaf(t, func(c *Config) { c.Policy.ServiceMS = 3_600_000 })
	_, r := dial(t, l, request("a1", "s1", ""))
	waitFor(l, func(s Status) bool { return s.Running == 1 })
	old := l.Status(time.Now()).Instance
	l.Crash()
	if _, err := http.ReadResponse(r, nil); err == nil {
		t.Error("a response after the crash")
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	if got := l.Status(time.Now()); got.Instance == old || got.Running != 0 {
		t.Errorf("after the start: %+v", got)
	}
}

func TestColdLeafReportsColdAndCountsOverruns(t *testing.T) {
	l := startLeaf(t, func(c *Config) {
		c.Policy = Policy{Slots: 3, ColdPermits: 1, ColdMS: 3_600_000, StartCold: true, CollapseFactor: 2, CollapseMS: 1}
	})
	_, r := dial(t, l, request("a1", "s1", ""))
	if resp, _ := read(t, r); resp.Header.Get("X-Cold") != "1" {
		t.Errorf("headers of a cold leaf: %v", resp.Header)
	}
	if got := l.Status(time.Now()).Counters; got.Overruns != 0 || got.MaxRunningCold != 1 {
		t.Errorf("one at a time: %+v", got)
	}
	_ = l.SetPolicy(func(p *Policy) error { p.ServiceMS = 3_600_000; return nil })
	dial(t, l, request("a2", "s1", ""))
	dial(t, l, request("a3", "s1", ""))
	waitFor(l, func(s Status) bool { return s.Counters.Overruns == 1 && s.Counters.MaxRunningCold == 2 })
}

func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	l := startLeaf(t, func(c *Config) { c.Policy.Connections = 1 })
	_, r := dial(t, l, request("a1", "s1", ""))
	read(t, r)
	refused, err := net.Dial("tcp", l.Status(time.Now()).Address)
	switch {
	case errors.Is(err, syscall.ECONNRESET): // the reset arrived before Dial returned
	case err != nil:
		t.Fatal(err)
	default:
		defer func() { _ = refused.Close() }()
		if _, err := refused.Read(make([]byte, 1)); err == nil {
			t.Error("a byte on a connection over the limit")
		}
	}
	waitFor(l, func(s Status) bool { return s.Counters.ConnectionsRefused == 1 && s.OpenConnections == 1 })
}

func TestSecretsAreDetected(t *testing.T) {
	for name, extra := range map[string]string{
		"header for credentials": "Authorization: Bearer x\r\n",
		"secret elsewhere":       "X-Note: about rk_secret\r\n",
	} {
		l := startLeaf(t, nil)
		_, r := dial(t, l, request("a1", "s1", extra))
		read(t, r)
		if records := l.AttemptLog(0).Records; len(records) != 1 || !records[0].SecretSeen {
			t.Errorf("%s: log %+v", name, records)
		}
	}
	l := startLeaf(t, nil)
	_, r := dial(t, l, request("a1", "s1", ""))
	read(t, r)
	if l.AttemptLog(0).Records[0].SecretSeen {
		t.Error("a secret in a request without one")
	}
}

func TestFaultyResponses(t *testing.T) {
	l := startLeaf(t, func(c *Config) { c.Policy.TruncatedFraction = 1 })
	_, r := dial(t, l, request("a1", "s1", ""))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != io.ErrUnexpectedEOF {
		t.Errorf("truncated response: %v", err)
	}
	l = startLeaf(t, func(c *Config) { c.Policy.MismatchedFraction = 1 })
	_, r = dial(t, l, request("a1", "s1", "")+request("a2", "s1", ""))
	read(t, r)
	if resp, _ := read(t, r); resp.Header.Get("X-Attempt-Id") != "a1" {
		t.Errorf("mismatched response: %v", resp.Header)
	}
	l = startLeaf(t, func(c *Config) { c.Policy.DuplicatedFraction = 1 })
	_, r = dial(t, l, request("a1", "s1", ""))
	_, first := read(t, r)
	if _, second := read(t, r); first != second || !strings.Contains(first, "hits") {
		t.Errorf("duplicated response: %q then %q", first, second)
	}
}
