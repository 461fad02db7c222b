package load

import (
	"fmt"
	"time"
)

// Fault is a kind of violation that fails a run.
type Fault string

// The faults.
const (
	// FaultWrongAnswer is an answer with wrong content, coverage or snapshot.
	FaultWrongAnswer Fault = "wrong"
	// FaultNoResponse is a request that got no response from a daemon that lives.
	FaultNoResponse Fault = "cut"
	// FaultFalseVerdict is a "not run" for a request that ran, or a part of an
	// answer that no upstream gave.
	FaultFalseVerdict Fault = "false_label"
	// FaultDuplicateRun is a second run of a request that is not idempotent.
	FaultDuplicateRun Fault = "repeated"
	// FaultKeyExposed is something like a key at an upstream.
	FaultKeyExposed Fault = "secret"
	// FaultZoneOutOfService is a request to a zone that is out.
	FaultZoneOutOfService Fault = "after_zone_out"
	// FaultBadKeyAccepted is a request that ran with an unknown or withdrawn key.
	FaultBadKeyAccepted Fault = "bad_key_accepted"
	// FaultGoodKeyRefused is a good key that was refused.
	FaultGoodKeyRefused Fault = "good_key_refused"
	// FaultOverrun is a cold upstream with more work than it bears.
	FaultOverrun Fault = "overruns"
	// FaultTooFewAnswered is too small a part of the queries answered.
	FaultTooFewAnswered Fault = "too_few_answered"
	// FaultLogIncomplete is a log of an upstream that is not whole.
	FaultLogIncomplete Fault = "log_incomplete"
)

// faults is the order of the summary.
var faults = []Fault{
	FaultWrongAnswer, FaultNoResponse, FaultFalseVerdict, FaultDuplicateRun, FaultKeyExposed, FaultZoneOutOfService, FaultBadKeyAccepted,
	FaultGoodKeyRefused, FaultOverrun, FaultTooFewAnswered, FaultLogIncomplete,
}

// Finding is one violation.
type Finding struct {
	Fault  Fault
	Detail string
}

// judge compares the tries with the truth.
type judge struct {
	cfg      *Config
	history  history
	truth    *truth
	findings []Finding
}

func (j *judge) find(f Fault, format string, args ...any) {
	j.findings = append(j.findings, Finding{Fault: f, Detail: fmt.Sprintf(format, args...)})
}

// all runs every check.
func (j *judge) all(tries []*Request) {
	for _, t := range tries {
		j.response(t)
		j.labels(t)
		j.key(t)
	}
	j.repeats(tries)
	j.upstreams()
	j.answeredPart(tries)
}

func (t *Request) String() string {
	return fmt.Sprintf("operation %d on %s at %s: %s to %s, status %d", t.Operation, t.Daemon,
		t.Start.Format("15:04:05.000"), t.Service.Name, t.Customer.Name, t.Status)
}

// response checks that a request got a right answer or a refusal.
func (j *judge) response(t *Request) {
	switch t.Kind {
	case KindAnswer:
		if t.Mismatch != "" {
			j.find(FaultWrongAnswer, "%v: %s", t, t.Mismatch)
		}
	case KindMalformed:
		j.find(FaultWrongAnswer, "%v: %v", t, t.Err)
	case KindConnectionLost, KindTimedOut:
		if !j.history.excused(t) {
			j.find(FaultNoResponse, "%v: %s after %v: %v", t, t.Kind, t.End.Sub(t.Start), t.Err)
		}
	}
}

// labels checks the verdict and the coverage against the truth.
func (j *judge) labels(t *Request) {
	switch {
	case t.Kind == KindAnswer:
		for _, r := range t.Answer.Results {
			if !j.truth.answered(t.Digest, r.Shard, t.Answer.Snapshot) {
				j.find(FaultFalseVerdict, "%v: no upstream answered shard %d under %q", t, r.Shard, t.Answer.Snapshot)
			}
		}
	case t.Kind == KindRefusal && t.Refusal.Verdict == verdictNotRun, t.Kind == KindUnreachable:
		if runs := j.truth.started(t.Digest); len(runs) > 0 {
			j.find(FaultFalseVerdict, "%v: %s, but it ran (shard to runs: %v)", t, t.Refusal.Code, runs)
		}
	case t.Kind == KindRefusal && t.Refusal.Verdict == verdictMayHaveRun, t.Kind == KindRefusal && t.Refusal.Verdict == verdictRan:
	case t.Kind == KindRefusal:
		j.find(FaultFalseVerdict, "%v: refusal %s with the verdict %q", t, t.Refusal.Code, t.Refusal.Verdict)
	}
}

// key checks that a key works exactly while it is known.
func (j *judge) key(t *Request) {
	must, may := j.history.withdrawn(t.Customer.Name, t.Start)
	if t.Customer.Unknown {
		must, may = true, true
	}
	refused := t.Kind == KindRefusal && t.Refusal.Code == codeUnknownKey
	if must && t.Kind == KindAnswer || j.ranWithout(t) {
		j.find(FaultBadKeyAccepted, "%v", t)
	}
	_, mayAtEnd := j.history.withdrawn(t.Customer.Name, t.End)
	if refused && !may && !mayAtEnd {
		j.find(FaultGoodKeyRefused, "%v", t)
	}
}

// ranWithout tells whether an upstream started a try at a time when its key must
// not work, whenever the caller sent it.
func (j *judge) ranWithout(t *Request) bool {
	for _, r := range j.truth.byQuery[t.Digest] {
		must, _ := j.history.withdrawn(t.Customer.Name, time.UnixMicro(r.ReceivedUS))
		if r.Started && (must || t.Customer.Unknown) {
			return true
		}
	}
	return false
}

// execution is a shard's part of an operation.
type execution struct {
	operation int
	shard     int
}

// repeats checks that nothing ran twice that may not.
func (j *judge) repeats(tries []*Request) {
	runs := make(map[execution]int)
	for _, t := range tries {
		if t.Service.Idempotent {
			continue
		}
		for shard, n := range j.truth.started(t.Digest) {
			runs[execution{t.Operation, shard}] += n
		}
	}
	for e, n := range runs {
		if n > 1 {
			j.find(FaultDuplicateRun, "operation %d ran %d times on shard %d", e.operation, n, e.shard)
		}
	}
}

// upstreams checks what the upstreams saw by itself.
func (j *judge) upstreams() {
	for _, records := range j.truth.byQuery {
		for _, r := range records {
			if r.SecretSeen {
				j.find(FaultKeyExposed, "attempt %s at %s", r.Attempt, r.leaf)
			}
			if at := time.UnixMicro(r.ReceivedUS); j.history.zoneOut(r.zone, at) {
				j.find(FaultZoneOutOfService, "attempt %s at %s at %s: %s", r.Attempt, r.leaf, at.Format("15:04:05.000"), r.Outcome)
			}
		}
	}
	for _, s := range j.truth.statuses {
		if s.Counters.Overruns > 0 {
			j.find(FaultOverrun, "%s: %d times, up to %d running", s.ID, s.Counters.Overruns, s.Counters.MaxRunningCold)
		}
	}
	if j.truth.dropped > 0 {
		j.find(FaultLogIncomplete, "%d records dropped", j.truth.dropped)
	}
}

// answeredPart checks that the tier didn't refuse its way through the run.
func (j *judge) answeredPart(tries []*Request) {
	valid, answered := operations(tries, &j.history)
	if float64(answered) < j.cfg.MinAnswered*float64(valid) || valid == 0 {
		j.find(FaultTooFewAnswered, "%d of %d operations", answered, valid)
	}
}

// operations counts the operations with a good key and those with an answer. An
// operation that met a paused daemon counts only if it was answered.
func operations(tries []*Request, h *history) (valid, answered int) {
	good := make(map[int]bool)
	done := make(map[int]bool)
	for _, t := range tries {
		if _, may := h.withdrawn(t.Customer.Name, t.End); may || t.Customer.Unknown {
			continue
		}
		if t.Kind == KindAnswer {
			done[t.Operation] = true
		}
		if t.Kind == KindAnswer || !h.paused(t.Daemon, t.Start, t.End) {
			good[t.Operation] = true
		}
	}
	return len(good), len(done)
}
