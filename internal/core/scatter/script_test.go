package scatter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// script runs the cases in testdata. Commands:
//
//	query [shards=N] [replicas=N] [deadline=D] [coverage=F] [single=K] [not-idempotent] [warm=D] [recent=SNAPSHOT]
//	answer ID SNAPSHOT:SHARDS [after=D]   end an attempt with an answer
//	end ID OUTCOME [verdict] [held=S:N,S:N] [after=D]   end an attempt otherwise
//	timer [late=D]                        fire the next timer, or fire it late
//	abandon                               stop the daemon
//	full SHARD | free SHARD               make the replicas reject | accept attempts
type script struct {
	t      *testing.T
	now    time.Time
	q      *Query
	picker *roundRobin
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	if d.HasArg("after") {
		s.now = s.now.Add(s.duration(d, "after", 0))
	}
	switch d.Cmd {
	case "query":
		return s.query(d)
	case "answer":
		parts := strings.Split(d.CmdArgs[1].Key, ":")
		info := snapshotOf(t, parts)
		return s.result(d, Result{Verdict: verdict.Ran, Snapshot: info, Body: []byte(info.ID)})
	case "end":
		return s.end(d)
	case "timer":
		return s.timer(d)
	case "abandon":
		return s.show(s.q.Abandon(s.now, verdict.Refuse(verdict.CodeNotReady, time.Second, "stopping")))
	case "full", "free":
		k, _ := strconv.Atoi(d.CmdArgs[0].Key)
		s.picker.full[k] = d.Cmd == "full"
		return ""
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func (s *script) query(d *datadriven.TestData) string {
	shards, replicas := s.number(d, "shards", 2), s.number(d, "replicas", 2)
	s.now = epoch
	s.picker = &roundRobin{layout: layoutOf(shards, replicas), full: map[int]bool{}, next: -1}
	spec := Spec{
		Service:     "s",
		Layout:      s.picker.layout,
		Deadline:    s.now.Add(s.duration(d, "deadline", time.Second)),
		Idempotent:  !d.HasArg("not-idempotent"),
		SingleShard: d.HasArg("single"),
		Shard:       s.number(d, "single", 0),
		OneSnapshot: !d.HasArg("no-snapshots"),
		MinCoverage: float64(s.number(d, "coverage", 100)) / 100,
	}
	latency := NewLatency(shards)
	if warm := s.duration(d, "warm", 0); warm > 0 {
		for k := range shards {
			for range minSamples {
				latency.Record(k, warm)
			}
		}
	}
	recent := &RecentSnapshot{}
	if d.HasArg("recent") {
		var id string
		d.ScanArgs(s.t, "recent", &id)
		recent.store(snapshotOf(s.t, strings.Split(id, ":")))
	}
	s.q = New(spec, Shared{Picker: s.picker, Budgets: NewBudgets(), Latency: latency, Recent: recent, Policy: DefaultPolicy()})
	return s.show(s.q.Start(s.now))
}

func (s *script) end(d *datadriven.TestData) string {
	outcomes := map[string]Outcome{
		"missing": OutcomeSnapshotMissing, "shed": OutcomeShed, "draining": OutcomeDraining, "mismatch": OutcomeMismatch,
		"unconnected": OutcomeConnectFailed, "lost": OutcomeConnectionLost, "failed": OutcomeFailed, "canceled": OutcomeCanceled,
	}
	verdicts := map[string]verdict.Verdict{"may-have-run": verdict.MayHaveRun, "ran": verdict.Ran}
	r := Result{Report: Report{Outcome: outcomes[d.CmdArgs[1].Key], Load: -1}}
	for _, arg := range d.CmdArgs[2:] {
		if v, ok := verdicts[arg.Key]; ok {
			r.Verdict = v
		}
		if arg.Key == "held" {
			for _, held := range arg.Vals {
				r.Held = append(r.Held, snapshotOf(s.t, strings.Split(held, ":")))
			}
		}
	}
	return s.result(d, r)
}

func (s *script) result(d *datadriven.TestData, r Result) string {
	id, err := strconv.Atoi(d.CmdArgs[0].Key)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	r.Attempt = id
	return s.show(s.q.OnResult(s.now, r))
}

func (s *script) timer(d *datadriven.TestData) string {
	at, ok := s.q.NextTimer()
	if !ok {
		return "no timer\n"
	}
	s.now = at.Add(s.duration(d, "late", 0))
	return fmt.Sprintf("at %v\n", s.now.Sub(epoch)) + s.show(s.q.OnTimer(s.now))
}

func (s *script) show(actions []Action) string {
	var b strings.Builder
	for _, action := range actions {
		switch a := action.(type) {
		case *Send:
			fmt.Fprintf(&b, "send %d to %s shard %d", a.Attempt.ID, a.Attempt.Target.Upstream, a.Attempt.Shard)
			if a.Attempt.Snapshot != "" {
				fmt.Fprintf(&b, " snapshot %s", a.Attempt.Snapshot)
			}
			if a.Attempt.Hedge {
				b.WriteString(" hedge")
			}
			b.WriteString("\n")
		case *Cancel:
			fmt.Fprintf(&b, "cancel %d\n", a.Attempt)
		case *Finish:
			showFinish(&b, a)
		}
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

func showFinish(b *strings.Builder, f *Finish) {
	if f.Answer == nil {
		fmt.Fprintf(b, "refuse %s %s retry after %v: %s\n", f.Refusal.Code, f.Refusal.Verdict, f.Refusal.RetryAfter, f.Refusal.Message)
		return
	}
	fmt.Fprintf(b, "answer from %s:", f.Answer.Snapshot.ID)
	for _, p := range f.Answer.Parts {
		fmt.Fprintf(b, " %d=%s", p.Shard, p.Body)
	}
	fmt.Fprintf(b, " missing %v\n", f.Answer.Missing)
}

func snapshotOf(t *testing.T, parts []string) SnapshotInfo {
	shards, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		t.Fatalf("snapshot %v: %v", parts, err)
	}
	return SnapshotInfo{ID: parts[0], Shards: shards}
}

func (s *script) number(d *datadriven.TestData, key string, n int) int {
	d.MaybeScanArgs(s.t, key, &n)
	return n
}

func (s *script) duration(d *datadriven.TestData, key string, length time.Duration) time.Duration {
	var text string
	if !d.MaybeScanArgs(s.t, key, &text) {
		return length
	}
	length, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return length
}
