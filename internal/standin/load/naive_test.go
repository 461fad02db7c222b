package load

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

// naiveTier is a minimal query tier with one configurable flaw that the checker
// must find.
type naiveTier struct {
	upstreams []string // by shard
	keys      map[string]bool
	flaw      flaw
	// client isn't shared between trials: a shared one would reuse connections to
	// the ports of earlier trials' upstreams.
	client fasthttp.Client

	mu       sync.Mutex
	attempts int
	previous []byte
}

type flaw string

const (
	flawNone             flaw = "none"
	flawPreviousAnswer   flaw = "returns the answer of another request"
	flawMixedSnapshots   flaw = "mixes snapshots"
	flawDroppedShard     flaw = "drops a shard but reports full coverage"
	flawHiddenShard      flaw = "drops a shard and leaves it out of the coverage"
	flawInventedResult   flaw = "invents a result"
	flawFalseNotRun      flaw = "reports not run after it ran"
	flawNoVerdict        flaw = "refuses without a verdict"
	flawSendsTwice       flaw = "sends each request twice"
	flawForwardsKey      flaw = "forwards the key"
	flawAcceptsEveryKey  flaw = "accepts every key"
	flawRefusesKeys      flaw = "refuses every key"
	flawClosesConnection flaw = "closes the connection"
	flawRefusesAll       flaw = "refuses every request"
	flawSendsParallel    flaw = "sends concurrent requests to a cold upstream"
)

// start serves on a free port and returns the address.
func (n *naiveTier) start(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: n.serve}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func (n *naiveTier) serve(ctx *fasthttp.RequestCtx) {
	key := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	known := (n.keys[key] || n.flaw == flawAcceptsEveryKey) && n.flaw != flawRefusesKeys
	switch {
	case !known:
		refuse(ctx, 401, Refusal{Code: codeUnknownKey, Verdict: verdictNotRun})
		return
	case n.flaw == flawRefusesAll:
		refuse(ctx, 503, Refusal{Code: "overloaded", Verdict: verdictNotRun})
		return
	}
	answer := n.scatter(ctx, key)
	switch n.flaw {
	case flawFalseNotRun:
		refuse(ctx, 503, Refusal{Code: "overloaded", Verdict: verdictNotRun})
		return
	case flawNoVerdict:
		refuse(ctx, 503, Refusal{Code: "overloaded"})
		return
	case flawClosesConnection:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	ctx.SetBody(n.applyFlaw(answer))
}

func refuse(ctx *fasthttp.RequestCtx, status int, r Refusal) {
	content, _ := json.Marshal(r)
	ctx.SetStatusCode(status)
	ctx.SetBody(content)
}

func (n *naiveTier) scatter(ctx *fasthttp.RequestCtx, key string) *Answer {
	service := strings.Split(string(ctx.Path()), "/")[3]
	a := &Answer{Verdict: verdictRan, Snapshot: "s2"}
	for shard := range n.upstreams {
		snapshot := a.Snapshot
		if n.flaw == flawMixedSnapshots && shard == 1 {
			snapshot = "s1"
		}
		body := n.sendAttempt(shard, service, snapshot, key, ctx.PostBody())
		if n.flaw == flawSendsTwice {
			body = n.sendAttempt(shard, service, snapshot, key, ctx.PostBody())
		}
		if n.flaw == flawSendsParallel {
			var both sync.WaitGroup
			both.Go(func() { n.sendAttempt(shard, service, snapshot, key, ctx.PostBody()) })
			both.Go(func() { n.sendAttempt(shard, service, snapshot, key, ctx.PostBody()) })
			both.Wait()
		}
		a.Results = append(a.Results, Result{Shard: shard, Body: body})
	}
	a.Coverage = Coverage{Answered: len(a.Results), Total: len(a.Results)}
	return a
}

// sendAttempt sends one attempt. A tier that invents a result computes it instead.
func (n *naiveTier) sendAttempt(shard int, service, snapshot, key string, body []byte) []byte {
	if n.flaw == flawInventedResult && shard == 1 {
		return leaf.AppendAnswer(nil, service, shard, snapshot, leaf.QueryDigest(leaf.ExtractQuery(body)), 0)
	}
	n.mu.Lock()
	n.attempts++
	id := strconv.Itoa(n.attempts)
	n.mu.Unlock()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + n.upstreams[shard] + "/v1/query")
	req.Header.SetMethod(fasthttp.MethodPost)
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Service": service, "X-Shard": strconv.Itoa(shard), "X-Snapshot": snapshot,
	} {
		req.Header.Set(name, value)
	}
	if n.flaw == flawForwardsKey {
		req.Header.Set("X-Caller", key)
	}
	req.SetBody(body)
	if err := n.client.Do(req, resp); err != nil {
		return []byte(`"` + err.Error() + `"`)
	}
	return append([]byte(nil), resp.Body()...)
}

func (n *naiveTier) applyFlaw(a *Answer) []byte {
	last := len(a.Results) - 1
	switch n.flaw {
	case flawDroppedShard:
		a.Results = a.Results[:last]
	case flawHiddenShard:
		a.Results = a.Results[:last]
		a.Coverage = Coverage{Answered: last, Total: last}
	}
	content, _ := json.Marshal(a)
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.previous
	n.previous = content
	if n.flaw == flawPreviousAnswer && previous != nil {
		return previous
	}
	return content
}

// startUpstreams starts an upstream for each of two shards, and their control
// listener.
func startUpstreams(t *testing.T, cold bool, secret string) (addresses []string, control string) {
	t.Helper()
	p := &leaf.Process{}
	for shard := range 2 {
		l := leaf.New(leaf.Config{
			ID: "up-" + strconv.Itoa(shard), Address: "127.0.0.1:0", Zone: "cz-a", Service: "orders", Shard: shard,
			Snapshots: []leaf.Snapshot{{ID: "s2", Shards: 2}, {ID: "s1", Shards: 2}},
			// Long enough for concurrent attempts to overlap, so that a cold
			// upstream counts the overrun.
			Policy:          leaf.Policy{Slots: 8, ServiceMS: 20, StartCold: cold, ColdMS: 3_600_000, ColdPermits: 1, CollapseFactor: 1},
			AttemptLogLimit: 1000,
			Secrets:         []string{secret},
		})
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Crash)
		addresses = append(addresses, l.Status(time.Now()).Address)
		p.Leaves = append(p.Leaves, l)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: p.ServeControl}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return addresses, ln.Addr().String()
}
