package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// script runs the test scripts of testdata on a virtual clock.
type script struct {
	now     time.Time
	catalog *catalog.Catalog
	list    membership.List
	router  *Router
	held    []scatter.Target
}

var scriptOutcomes = map[string]scatter.Outcome{
	"answered": scatter.OutcomeAnswered, "shed": scatter.OutcomeShed,
	"draining": scatter.OutcomeDraining, "connect-failed": scatter.OutcomeConnectFailed,
	"lost": scatter.OutcomeConnectionLost, "failed": scatter.OutcomeFailed,
	"canceled": scatter.OutcomeCanceled,
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	count := 1
	d.MaybeScanArgs(t, "count", &count)
	switch d.Cmd {
	case "fleet":
		return s.fleet(t, d)
	case "wait":
		return s.wait(t, d)
	case "pick":
		return s.pick(count)
	case "done":
		return s.done(t, d, count)
	case "set":
		return s.set(t, d)
	case "ramp-notice":
		n := RampNotice{}
		d.ScanArgs(t, "upstream", &n.Upstream)
		d.ScanArgs(t, "stage", &n.Stage)
		s.router.OnRampNotice(s.now, n)
		return s.status()
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func (s *script) fleet(t *testing.T, d *datadriven.TestData) string {
	vms, replicas := 1, 3
	d.MaybeScanArgs(t, "vms", &vms)
	d.MaybeScanArgs(t, "replicas", &replicas)
	s.catalog = testCatalog(fourZones, 1, replicas)
	s.list = testList(1, fourZones, vms)
	s.held = nil
	s.router, s.now = newMature(s.list, 0, s.catalog, Config{})
	s.router.Tick(s.now)
	return s.status()
}

func (s *script) wait(t *testing.T, d *datadriven.TestData) string {
	var text string
	d.ScanArgs(t, "for", &text)
	wait, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	s.now = s.now.Add(wait)
	if !d.HasArg("paused") {
		s.router.ConfirmView(s.now)
	}
	return s.tick()
}

func (s *script) tick() string {
	var b strings.Builder
	for _, a := range s.router.Tick(s.now) {
		switch a := a.(type) {
		case Audit:
			fmt.Fprintf(&b, "audit %s %s %s\n", a.Subject, a.Change, a.Cause)
		case ColdNotice:
			fmt.Fprintf(&b, "notify cold %s\n", a.Upstream)
		case RampNotice:
			fmt.Fprintf(&b, "notify ramp %s stage=%d\n", a.Upstream, a.Stage)
		case RampQuery:
			fmt.Fprintf(&b, "query %s about %d\n", a.To, len(a.Questions))
		}
	}
	return b.String() + s.status()
}

func (s *script) pick(count int) string {
	var b strings.Builder
	for range count {
		target, ok := s.router.Pick(s.now, "svc", 0, nil)
		if !ok {
			b.WriteString("none\n")
			continue
		}
		s.held = append(s.held, target)
		fmt.Fprintln(&b, target.Upstream)
	}
	return b.String()
}

// done releases the oldest reservations with a report.
func (s *script) done(t *testing.T, d *datadriven.TestData, count int) string {
	outcome, latency, instance := "answered", 1, "a"
	d.MaybeScanArgs(t, "outcome", &outcome)
	d.MaybeScanArgs(t, "ms", &latency)
	d.MaybeScanArgs(t, "instance", &instance)
	rep := scatter.Report{
		Outcome: scriptOutcomes[outcome], Instance: instance, Load: -1,
		Latency: time.Duration(latency) * time.Millisecond, Cold: d.HasArg("cold"),
	}
	for range count {
		s.router.Done(s.now, "svc", 0, s.held[0], rep)
		s.held = s.held[1:]
	}
	return s.tick()
}

// set applies a changed catalog to the Router.
func (s *script) set(t *testing.T, d *datadriven.TestData) string {
	var out, draining string
	d.MaybeScanArgs(t, "zone-out", &out)
	d.MaybeScanArgs(t, "draining", &draining)
	next := testCatalog(fourZones, 1, len(s.catalog.Services["svc"].Shards[0].Replicas))
	next.Version = s.catalog.Version + 1
	for name, z := range next.Zones {
		z.OutOfService = name == out
	}
	for i := range next.Services["svc"].Shards[0].Replicas {
		u := &next.Services["svc"].Shards[0].Replicas[i]
		u.Draining = u.ID == draining
	}
	s.catalog = next
	s.router.Update(s.now, next, s.list)
	return s.tick()
}

func (s *script) status() string {
	var b strings.Builder
	for _, u := range s.router.Status(s.now).Upstreams {
		line := fmt.Sprintf("%s %s stage=%d warm=%t suspected=%t limit=%d running=%d %s",
			u.Upstream, u.Zone, u.Stage, u.Warm, u.Suspected, u.Limit, u.Running, u.Inactive)
		b.WriteString(strings.TrimSpace(line) + "\n")
	}
	return b.String()
}
