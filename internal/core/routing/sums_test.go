package routing

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// sumsProperty drives a fleet at random and checks the sums after each step.
func sumsProperty(disabled disabledMechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		zones := fourZones[:rapid.IntRange(1, 3).Draw(t, "zones")]
		c := testCatalog(zones, 1, rapid.IntRange(1, 4).Draw(t, "replicas"))
		svc := c.Services["svc"]
		svc.Connections = rapid.IntRange(2, 30).Draw(t, "connections")
		svc.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
		svc.ColdPermits = rapid.IntRange(1, svc.Slots).Draw(t, "cold")
		m := newFleetModel(c, zones, rapid.IntRange(1, 8).Draw(t, "vms"), disabled)
		m.advance(maturationPeriod(m.cfg.HoldDown))
		t.Repeat(m.actions(zones))
	}
}

func (m *fleetModel) actions(zones []string) map[string]func(*rapid.T) {
	pickMany := func(t *rapid.T) {
		for range rapid.IntRange(1, 12).Draw(t, "picks") {
			m.pick(m.drawVM(t), 0)
		}
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if bad := m.violation(); bad != "" {
				t.Fatal(bad)
			}
		},
		"pick":      pickMany,
		"pickAgain": pickMany,
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
		},
		"wait": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second)
		},
		"answer": func(t *rapid.T) {
			for range min(len(m.calls), rapid.IntRange(1, 6).Draw(t, "answers")) {
				m.answer(rapid.SampledFrom(m.calls).Draw(t, "call"))
			}
		},
		"restart": func(t *rapid.T) {
			m.restart(m.drawUpstream(t).ID)
		},
		"message": func(t *rapid.T) {
			for range min(len(m.messages), 8) {
				deliver := m.takeMessage(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"))
				if deliver != nil && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
					deliver()
				}
			}
		},
		"join": func(t *rapid.T) {
			if len(m.vms) < 12 {
				m.join(rapid.SampledFrom(zones).Draw(t, "zone"))
			}
		},
		"unlist": func(t *rapid.T) { m.unlist(m.drawVM(t).vm.ID) },
		"crash": func(t *rapid.T) {
			if len(m.vms) < 2 {
				return
			}
			v := m.drawVM(t)
			m.vms = slices.DeleteFunc(m.vms, func(other *vmModel) bool { return other == v })
			m.unlist(v.vm.ID)
		},
		"view": func(t *rapid.T) {
			v := m.drawVM(t)
			v.list, v.config = len(m.lists)-1, len(m.catalogs)-1
			m.update(v)
		},
		"drain": func(t *rapid.T) { m.configure(m.toggleDrained(t)) },
	}
}

func (m *fleetModel) drawVM(t *rapid.T) *vmModel {
	return rapid.SampledFrom(m.vms).Draw(t, "vm")
}

func (m *fleetModel) drawUpstream(t *rapid.T) catalog.Upstream {
	return rapid.SampledFrom(m.service().Shards[0].Replicas).Draw(t, "upstream")
}

// toggleDrained returns a copy of the catalog in which one zone or one upstream
// is drained or returned.
func (m *fleetModel) toggleDrained(t *rapid.T) *catalog.Catalog {
	old := m.catalogs[len(m.catalogs)-1].value
	next := &catalog.Catalog{Services: map[string]*catalog.Service{}, Zones: map[string]*catalog.Zone{}}
	for name, z := range old.Zones {
		zone := *z
		next.Zones[name] = &zone
	}
	svc := *old.Services["svc"]
	svc.Shards = []catalog.Shard{{Replicas: slices.Clone(svc.Shards[0].Replicas)}}
	next.Services["svc"] = &svc
	u := rapid.SampledFrom(svc.Shards[0].Replicas).Draw(t, "drained")
	if rapid.Bool().Draw(t, "zone") {
		next.Zones[u.Zone].OutOfService = !next.Zones[u.Zone].OutOfService
		return next
	}
	for i := range svc.Shards[0].Replicas {
		if svc.Shards[0].Replicas[i].ID == u.ID {
			svc.Shards[0].Replicas[i].Draining = !u.Draining
		}
	}
	return next
}

func TestSumsHold(t *testing.T) {
	rapid.Check(t, sumsProperty(disabledMechanisms{}))
}

// TestSumsFailWithout disables one mechanism at a time and requires that the
// property fails.
func TestSumsFailWithout(t *testing.T) {
	for name, disabled := range map[string]disabledMechanisms{
		"shares":    {partitioning: true},
		"ramp":      {ramp: true},
		"hold-down": {holdDown: true},
	} {
		t.Run(name, func(t *testing.T) { requireFailure(t, sumsProperty(disabled)) })
	}
}

// loansProperty drives four VMs that share one cold upstream with a single
// permit.
func loansProperty(disabled disabledMechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newFleetModel(testCatalog(fourZones[:1], 1, 1), fourZones[:1], 4, disabled)
		m.advance(maturationPeriod(m.cfg.HoldDown))
		all := m.actions(fourZones[:1])
		actions := map[string]func(*rapid.T){}
		for _, name := range []string{"", "pick", "advance", "message", "answer"} {
			actions[name] = all[name]
		}
		t.Repeat(actions)
	}
}

func TestLoansKeepTheSum(t *testing.T) {
	rapid.Check(t, loansProperty(disabledMechanisms{}))
}

func TestLoansFailUnlessGivenUp(t *testing.T) {
	requireFailure(t, loansProperty(disabledMechanisms{lending: true}))
}

// TestNewVMCountsFewerVMsThanOthers guards against a failure that the property
// found. A new VM doesn't know the VMs that left before it joined. It therefore
// counted fewer VMs than the others did, and applied fleet-wide sharing while
// they still shared by zone.
func TestNewVMCountsFewerVMsThanOthers(t *testing.T) {
	c := testCatalog(fourZones[:2], 1, 3)
	c.Services["svc"].Connections = 9
	m := newFleetModel(c, fourZones[:1], 1, disabledMechanisms{})
	for range 4 {
		m.join(fourZones[1])
	}
	m.advance(maturationPeriod(m.cfg.HoldDown))
	for range 2 {
		m.unlist(m.vms[1].vm.ID)
		m.vms = slices.Delete(m.vms, 1, 2)
	}
	m.join(fourZones[1])
	for range 150 {
		m.advance(100 * time.Millisecond)
		if bad := m.violation(); bad != "" {
			t.Fatalf("after %s: %s", m.now.Sub(testStart), bad)
		}
	}
}

// requireFailure fails the test if the property holds.
func requireFailure(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	r := &recorder{name: t.Name()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	if !r.failed {
		t.Fatal("the property holds with the mechanism disabled")
	}
	t.Log(r.first)
}

// recorder is a rapid.TB that records the first failure instead of reporting
// it.
type recorder struct {
	name   string
	failed bool
	first  string
}

func (r *recorder) Helper()             {}
func (r *recorder) Name() string        { return r.name }
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Log(...any)          {}
func (r *recorder) Skipf(string, ...any) {
	runtime.Goexit()
}
func (r *recorder) Skip(...any) { runtime.Goexit() }
func (r *recorder) SkipNow()    { runtime.Goexit() }
func (r *recorder) Errorf(format string, args ...any) {
	r.Fail()
	if r.first == "" {
		r.first = fmt.Sprintf(format, args...)
	}
}
func (r *recorder) Error(args ...any) { r.Errorf("%s", fmt.Sprint(args...)) }
func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}
func (r *recorder) Fatal(args ...any) { r.Fatalf("%s", fmt.Sprint(args...)) }
func (r *recorder) FailNow() {
	r.Fail()
	runtime.Goexit()
}
func (r *recorder) Fail()        { r.failed = true }
func (r *recorder) Failed() bool { return r.failed }
