package upstream

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Header names of the upstream protocol, described in docs/UPSTREAM.md.
const (
	headerAttempt        = "X-Attempt-Id"
	headerRequest        = "X-Request-Id"
	headerService        = "X-Service"
	headerShard          = "X-Shard"
	headerSnapshot       = "X-Snapshot"
	headerSnapshotShards = "X-Snapshot-Shards"
	headerSnapshots      = "X-Snapshots"
	headerDeadline       = "X-Deadline-Ms"
	headerInstance       = "X-Instance"
	headerLoad           = "X-Load"
	headerCold           = "X-Cold"
	headerNotRun         = "X-Not-Run"
	headerDraining       = "X-Draining"
)

// writerPool holds write buffers that fit a whole small request, so that it is
// sent in one write.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, inlineWriteBytes+readBufferBytes) }}

func fillRequest(req *fasthttp.Request, c *Call, addr string) {
	h := &req.Header
	h.DisableNormalizing() // the names are in canonical form
	h.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/query")
	h.SetHost(addr)
	h.SetContentType("application/json")
	for _, f := range c.Header {
		h.Add(f.Name, f.Value)
	}
	h.Add(headerAttempt, c.AttemptID)
	h.Add(headerRequest, c.RequestID)
	h.Add(headerService, c.Service)
	h.Add(headerShard, strconv.Itoa(c.Attempt.Shard))
	if c.Attempt.Snapshot != "" {
		h.Add(headerSnapshot, c.Attempt.Snapshot)
	}
	remaining := max(time.Until(c.Attempt.Deadline).Milliseconds(), 1)
	h.Add(headerDeadline, strconv.FormatInt(remaining, 10))
	req.SetBodyRaw(c.Body)
}

// responseHeader holds the headers of the upstream protocol. The slices point
// into the response.
type responseHeader struct {
	attempt, service, shard, snapshot, snapshotShards, heldSnapshots, instance, load, retryAfter []byte
	notRun, cold, draining                                                                       bool
}

// readResponseHeader collects the protocol's headers in one pass.
func readResponseHeader(h *fasthttp.ResponseHeader) (a responseHeader) {
	for name, value := range h.All() {
		switch string(name) {
		case headerAttempt:
			a.attempt = value
		case headerService:
			a.service = value
		case headerShard:
			a.shard = value
		case headerSnapshot:
			a.snapshot = value
		case headerSnapshotShards:
			a.snapshotShards = value
		case headerSnapshots:
			a.heldSnapshots = value
		case headerInstance:
			a.instance = value
		case headerLoad:
			a.load = value
		case fasthttp.HeaderRetryAfter:
			a.retryAfter = value
		case headerNotRun:
			a.notRun = len(value) > 0
		case headerCold:
			a.cold = len(value) > 0
		case headerDraining:
			a.draining = len(value) > 0
		}
	}
	return a
}

// parseResponse converts a response to a result. It returns false for a
// response that belongs to another attempt.
func parseResponse(c *Call, resp *fasthttp.Response) (scatter.Result, bool) {
	h := readResponseHeader(&resp.Header)
	r := scatter.Result{Attempt: c.Attempt.ID, Verdict: verdict.MayHaveRun}
	r.Report.Load = -1
	if string(h.attempt) != c.AttemptID {
		r.Report.Outcome = scatter.OutcomeMismatch
		return r, false
	}
	if h.notRun {
		r.Verdict = verdict.NotRun
	}
	r.Report.Instance = c.host.instance.intern(h.instance)
	r.Report.Cold = h.cold
	if load, err := strconv.ParseFloat(string(h.load), 64); err == nil {
		r.Report.Load = load
	}
	if s, err := strconv.Atoi(string(h.retryAfter)); err == nil {
		r.Report.RetryAfter = time.Duration(s) * time.Second
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return parseAnswer(c, &h, resp, r)
	case fasthttp.StatusConflict:
		r.Report.Outcome = scatter.OutcomeSnapshotMissing
		r.Held = parseHeld(string(h.heldSnapshots))
	case fasthttp.StatusServiceUnavailable:
		r.Report.Outcome = scatter.OutcomeShed
		if h.draining {
			r.Report.Outcome = scatter.OutcomeDraining
		}
	default:
		r.Report.Outcome = scatter.OutcomeFailed
	}
	return r, true
}

// parseAnswer checks a response with status 200. Its body becomes a part of the
// caller's answer, so it must be valid JSON.
func parseAnswer(c *Call, h *responseHeader, resp *fasthttp.Response, r scatter.Result) (scatter.Result, bool) {
	shard, err := strconv.Atoi(string(h.shard))
	if err != nil || shard != c.Attempt.Shard || string(h.service) != c.Service {
		r.Report.Outcome = scatter.OutcomeMismatch
		return r, false
	}
	r.Verdict = verdict.Ran
	if !json.Valid(resp.Body()) {
		r.Report.Outcome = scatter.OutcomeFailed
		return r, true
	}
	r.Report.Outcome = scatter.OutcomeAnswered
	r.Snapshot.ID = c.host.snapshot.intern(h.snapshot)
	r.Snapshot.Shards, _ = strconv.Atoi(string(h.snapshotShards))
	r.Body = takeBody(resp)
	return r, true
}

// parseHeld reads "ID:SHARDS,ID:SHARDS" and skips malformed entries.
func parseHeld(s string) []scatter.SnapshotInfo {
	var out []scatter.SnapshotInfo
	for part := range strings.SplitSeq(s, ",") {
		id, n, ok := strings.Cut(strings.TrimSpace(part), ":")
		shards, err := strconv.Atoi(n)
		if !ok || err != nil || shards < 1 {
			continue
		}
		out = append(out, scatter.SnapshotInfo{ID: id, Shards: shards})
	}
	return out
}
