package load

import (
	"fmt"
	"time"
)

// Fault is a kind of violation. Any violation fails the run.
type Fault string

// The faults.
const (
	// FaultWrongAnswer is a malformed response, or an answer with wrong content,
	// coverage or snapshot.
	FaultWrongAnswer Fault = "wrong"
	// FaultNoResponse is a request without a response from a daemon that was
	// neither killed nor paused.
	FaultNoResponse Fault = "cut"
	// FaultFalseVerdict is the verdict "not run" for a request that ran, a refusal
	// without a valid verdict, or a result that no upstream gave.
	FaultFalseVerdict Fault = "false_label"
	// FaultDuplicateRun is a second run of a non-idempotent operation on a shard.
	FaultDuplicateRun Fault = "repeated"
	// FaultKeyExposed is an upstream request that carries key material.
	FaultKeyExposed Fault = "secret"
	// FaultZoneOutOfService is an attempt sent to a zone that is out of service.
	FaultZoneOutOfService Fault = "after_zone_out"
	// FaultBadKeyAccepted is a request that was answered or ran with an unknown or
	// revoked key.
	FaultBadKeyAccepted Fault = "bad_key_accepted"
	// FaultGoodKeyRefused is a refusal of a valid key.
	FaultGoodKeyRefused Fault = "good_key_refused"
	// FaultOverrun is a cold upstream that ran more work than it can bear.
	FaultOverrun Fault = "overruns"
	// FaultTooFewAnswered is a fraction of answered operations below MinAnswered,
	// or a run without any valid operation.
	FaultTooFewAnswered Fault = "too_few_answered"
	// FaultLogIncomplete is an attempt log that dropped records.
	FaultLogIncomplete Fault = "log_incomplete"
)

// faults lists the faults in the order of the summary.
var faults = []Fault{
	FaultWrongAnswer, FaultNoResponse, FaultFalseVerdict, FaultDuplicateRun, FaultKeyExposed, FaultZoneOutOfService, FaultBadKeyAccepted,
	FaultGoodKeyRefused, FaultOverrun, FaultTooFewAnswered, FaultLogIncomplete,
}

// Finding is one violation.
type Finding struct {
	Fault  Fault
	Detail string
}

// checker compares the requests with the upstreams' attempt logs.
type checker struct {
	cfg      *Config
	history  history
	logs     *attemptLogs
	findings []Finding
}

func (c *checker) addFinding(f Fault, format string, args ...any) {
	c.findings = append(c.findings, Finding{Fault: f, Detail: fmt.Sprintf(format, args...)})
}

// checkAll runs every check.
func (c *checker) checkAll(requests []*Request) {
	for _, req := range requests {
		c.checkResponse(req)
		c.checkVerdict(req)
		c.checkKey(req)
	}
	c.checkDuplicateRuns(requests)
	c.checkUpstreams()
	c.checkAnsweredFraction(requests)
}

func (req *Request) String() string {
	return fmt.Sprintf("operation %d on %s at %s: %s to %s, status %d", req.Operation, req.Daemon,
		req.Start.Format("15:04:05.000"), req.Service.Name, req.Customer.Name, req.Status)
}

// checkResponse checks that a request got a correct answer or a refusal.
func (c *checker) checkResponse(req *Request) {
	switch req.Kind {
	case KindAnswer:
		if req.Mismatch != "" {
			c.addFinding(FaultWrongAnswer, "%v: %s", req, req.Mismatch)
		}
	case KindMalformed:
		c.addFinding(FaultWrongAnswer, "%v: %v", req, req.Err)
	case KindConnectionLost, KindTimedOut:
		if !c.history.unavailable(req) {
			c.addFinding(FaultNoResponse, "%v: %s after %v: %v", req, req.Kind, req.End.Sub(req.Start), req.Err)
		}
	}
}

// checkVerdict checks a response's verdict and results against the attempt logs.
func (c *checker) checkVerdict(req *Request) {
	switch {
	case req.Kind == KindAnswer:
		for _, r := range req.Answer.Results {
			if !c.logs.answered(req.Digest, r.Shard, req.Answer.Snapshot) {
				c.addFinding(FaultFalseVerdict, "%v: no upstream answered shard %d under %q", req, r.Shard, req.Answer.Snapshot)
			}
		}
	case req.Kind == KindRefusal && req.Refusal.Verdict == verdictNotRun, req.Kind == KindUnreachable:
		if runs := c.logs.runsByShard(req.Digest); len(runs) > 0 {
			c.addFinding(FaultFalseVerdict, "%v: %s, but it ran (runs by shard: %v)", req, req.Refusal.Code, runs)
		}
	case req.Kind == KindRefusal && req.Refusal.Verdict == verdictMayHaveRun, req.Kind == KindRefusal && req.Refusal.Verdict == verdictRan:
	case req.Kind == KindRefusal:
		c.addFinding(FaultFalseVerdict, "%v: refusal %s with the verdict %q", req, req.Refusal.Code, req.Refusal.Verdict)
	}
}

// checkKey checks that valid keys are accepted, and unknown and revoked ones are
// not.
func (c *checker) checkKey(req *Request) {
	mustFail, mayFail := c.history.keyRevoked(req.Customer.Name, req.Start)
	if req.Customer.Unknown {
		mustFail, mayFail = true, true
	}
	refused := req.Kind == KindRefusal && req.Refusal.Code == codeUnknownKey
	if mustFail && req.Kind == KindAnswer || c.ranWithInvalidKey(req) {
		c.addFinding(FaultBadKeyAccepted, "%v", req)
	}
	_, mayFailAtEnd := c.history.keyRevoked(req.Customer.Name, req.End)
	if refused && !mayFail && !mayFailAtEnd {
		c.addFinding(FaultGoodKeyRefused, "%v", req)
	}
}

// ranWithInvalidKey reports whether an upstream started a request that it had
// received when the key must no longer work, whenever the caller sent it.
func (c *checker) ranWithInvalidKey(req *Request) bool {
	for _, r := range c.logs.byQuery[req.Digest] {
		mustFail, _ := c.history.keyRevoked(req.Customer.Name, time.UnixMicro(r.ReceivedUS))
		if r.Started && (mustFail || req.Customer.Unknown) {
			return true
		}
	}
	return false
}

// operationShard identifies one shard of an operation.
type operationShard struct {
	operation int
	shard     int
}

// checkDuplicateRuns checks that no shard of a non-idempotent operation ran
// twice.
func (c *checker) checkDuplicateRuns(requests []*Request) {
	runs := make(map[operationShard]int)
	for _, req := range requests {
		if req.Service.Idempotent {
			continue
		}
		for shard, n := range c.logs.runsByShard(req.Digest) {
			runs[operationShard{req.Operation, shard}] += n
		}
	}
	for e, n := range runs {
		if n > 1 {
			c.addFinding(FaultDuplicateRun, "operation %d ran %d times on shard %d", e.operation, n, e.shard)
		}
	}
}

// checkUpstreams checks the attempt logs and counters alone, without the requests.
func (c *checker) checkUpstreams() {
	for _, records := range c.logs.byQuery {
		for _, r := range records {
			if r.SecretSeen {
				c.addFinding(FaultKeyExposed, "attempt %s at %s", r.Attempt, r.upstreamID)
			}
			if at := time.UnixMicro(r.ReceivedUS); c.history.zoneOutOfService(r.zone, at) {
				c.addFinding(FaultZoneOutOfService, "attempt %s at %s at %s: %s", r.Attempt, r.upstreamID, at.Format("15:04:05.000"), r.Outcome)
			}
		}
	}
	for _, s := range c.logs.statuses {
		if s.Counters.Overruns > 0 {
			c.addFinding(FaultOverrun, "%s: %d overruns, up to %d requests running while cold", s.ID, s.Counters.Overruns, s.Counters.MaxRunningCold)
		}
	}
	if c.logs.dropped > 0 {
		c.addFinding(FaultLogIncomplete, "%d attempt records dropped", c.logs.dropped)
	}
}

// checkAnsweredFraction checks that enough valid operations were answered, so that
// a tier that refuses everything doesn't pass.
func (c *checker) checkAnsweredFraction(requests []*Request) {
	valid, answered := countOperations(requests, &c.history)
	if float64(answered) < c.cfg.MinAnswered*float64(valid) || valid == 0 {
		c.addFinding(FaultTooFewAnswered, "%d of %d operations answered", answered, valid)
	}
}

// countOperations counts the operations with a valid key, and those of them with
// an answer. An operation that was sent only to paused daemons counts only if it
// was answered.
func countOperations(requests []*Request, h *history) (valid, answered int) {
	good := make(map[int]bool)
	done := make(map[int]bool)
	for _, req := range requests {
		if _, mayFail := h.keyRevoked(req.Customer.Name, req.End); mayFail || req.Customer.Unknown {
			continue
		}
		if req.Kind == KindAnswer {
			done[req.Operation] = true
		}
		if req.Kind == KindAnswer || !h.paused(req.Daemon, req.Start, req.End) {
			good[req.Operation] = true
		}
	}
	return len(good), len(done)
}
