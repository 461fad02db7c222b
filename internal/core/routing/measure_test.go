package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

const modelSeeds = 5

// summary reports the median and the range of a result over the seeds.
type summary struct{ values []float64 }

func (s *summary) add(v float64) { s.values = append(s.values, v) }

func (s *summary) String() string {
	slices.Sort(s.values)
	n := len(s.values)
	return fmt.Sprintf("%.2f [%.2f %.2f]", s.values[n/2], s.values[0], s.values[n-1])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkModelSharing compares schemes for sharing slots among 8 VMs.
func BenchmarkModelSharing(b *testing.B) {
	schemes := []struct {
		name string
		setup
	}{
		{"assured_and_spare", setup{hedge: true}},
		{"owned_slots", setup{hedge: true, policy: newOwnedSlots}},
		{"connections_only", setup{hedge: true, policy: newConnectionsOnly}},
		{"random_no_hedge", setup{policy: newRandomReplica}},
	}
	for _, sheds := range []bool{false, true} {
		for _, load := range []float64{30, 60, 100} {
			for _, w := range schemes {
				if w.name == "owned_slots" && (sheds || load > 30) {
					continue // most queries fail even at the lowest load
				}
				s := w.setup
				s.sheds, s.vms, s.perVM, s.duration, s.stragglers = sheds, 8, load, 6*time.Second, 0.02
				b.Run(fmt.Sprintf("sheds=%t/perVM=%.0f/%s", sheds, load, w.name), func(b *testing.B) {
					reportSharing(b, s)
				})
			}
		}
	}
}

func reportSharing(b *testing.B, s setup) {
	var p50, p99, partial, over, extra, shed summary
	for seed := range uint64(modelSeeds) {
		s.seed = seed + 1
		m := runModel(s)
		half, _ := m.quantile(0.5, time.Second, 5*time.Second)
		tail, missing := m.quantile(0.99, time.Second, 5*time.Second)
		p50.add(milliseconds(half))
		p99.add(milliseconds(tail))
		partial.add(float64(missing))
		over.add(100 * float64(m.overSlots) / float64(m.arrivals))
		extra.add(100 * float64(m.hedges) / float64(m.attempts))
		shed.add(100 * float64(m.sheds) / float64(m.attempts))
	}
	b.Logf("p50 %s ms, p99 %s ms, partial %s, above slots %s %%, hedges %s %%, shed %s %%",
		&p50, &p99, &partial, &over, &extra, &shed)
}

// BenchmarkModelOverload offers a load above the capacity of the upstreams.
func BenchmarkModelOverload(b *testing.B) {
	for _, sheds := range []bool{false, true} {
		for name, policy := range map[string]func(*Router, *rand.Rand, *catalog.Catalog) scatter.Picker{
			"assured_and_spare": nil, "connections_only": newConnectionsOnly,
		} {
			b.Run(fmt.Sprintf("sheds=%t/%s", sheds, name), func(b *testing.B) {
				var complete, over, shed summary
				for seed := range uint64(2) {
					m := runModel(setup{seed: seed + 1, vms: 8, perVM: 200, duration: 2 * time.Second,
						stragglers: 0.02, hedge: true, sheds: sheds, policy: policy})
					answered := 0
					for _, q := range m.queries {
						if q.open == 0 && q.missing == 0 {
							answered++
						}
					}
					complete.add(float64(answered) / 2)
					over.add(100 * float64(m.overSlots) / float64(m.arrivals))
					shed.add(float64(m.sheds) / 2)
				}
				b.Logf("complete answers %s /s, above slots %s %%, sheds %s /s", &complete, &over, &shed)
			})
		}
	}
}

func freezeOneOfThree(m *model) {
	for id, u := range m.upstreams {
		if id[len(id)-1] == '0' {
			u.frozen = true
		}
	}
}

// TestModelFrozenReplica checks that, two seconds after one of three replicas
// of each shard froze, p99 is within twice the healthy p99.
func TestModelFrozenReplica(t *testing.T) {
	var healthy, frozen, ratio summary
	for seed := range uint64(modelSeeds) {
		m := runModel(setup{seed: seed + 1, vms: 8, perVM: 60, duration: 12 * time.Second, hedge: true,
			at: map[time.Duration]func(*model){4 * time.Second: freezeOneOfThree}})
		before, _ := m.quantile(0.99, time.Second, 4*time.Second)
		after, missing := m.quantile(0.99, 6*time.Second, 11*time.Second)
		healthy.add(milliseconds(before))
		frozen.add(milliseconds(after))
		ratio.add(float64(after) / float64(before))
		if after > 2*before || missing > 0 {
			t.Errorf("seed %d: p99 %s before, %s after, %d partial", seed+1, before, after, missing)
		}
	}
	t.Logf("p99 healthy %s ms, frozen %s ms, ratio %s", &healthy, &frozen, &ratio)
}

// TestModelZoneOutAndBack takes a zone out and returns it. It checks that no
// request is refused, that the zone gets no new requests after three seconds,
// and that p99 stays within twice the steady p99.
func TestModelZoneOutAndBack(t *testing.T) {
	out := func(m *model) {
		m.configure(func(c *catalog.Catalog) { c.Zones["cz-b"].OutOfService = true })
	}
	back := func(m *model) { m.configure(func(*catalog.Catalog) {}) }
	var steady, during, returning, last summary
	for seed := range uint64(modelSeeds) {
		var lastNew time.Time
		m := runModel(setup{seed: seed + 1, vms: 8, perVM: 60, duration: 16 * time.Second, hedge: true,
			at: map[time.Duration]func(*model){
				4 * time.Second:    out,
				10*time.Second - 1: func(m *model) { lastNew = m.lastTo["cz-b"] },
				10 * time.Second:   back,
			}})
		before, _ := m.quantile(0.99, time.Second, 4*time.Second)
		away, refused := m.quantile(0.99, 4*time.Second, 10*time.Second)
		again, refusedLater := m.quantile(0.99, 10*time.Second, 15*time.Second)
		delay := lastNew.Sub(testStart.Add(4 * time.Second))
		steady.add(milliseconds(before))
		during.add(milliseconds(away))
		returning.add(milliseconds(again))
		last.add(milliseconds(delay))
		if refused+refusedLater > 0 || delay > 3*time.Second || away > 2*before || again > 2*before {
			t.Errorf("seed %d: p99 %s, %s, %s; refused %d, %d; last new request %s after",
				seed+1, before, away, again, refused, refusedLater, delay)
		}
	}
	t.Logf("p99 steady %s ms, out %s ms, back %s ms, last new request %s ms after", &steady, &during, &returning, &last)
}

func restartOneOfThree(m *model) {
	for id, u := range m.upstreams {
		if id[len(id)-1] != '0' {
			continue
		}
		u.isCold, u.answers, u.instance = true, 0, "b"
		for _, vm := range m.vms {
			vm.router.OnConnectionsLost(m.now, id)
		}
	}
}

// warmAfterRestart returns the number of restarted upstreams that all VMs count
// as warm.
func (m *model) warmAfterRestart() int {
	n := 0
	for id := range m.upstreams {
		cold := slices.ContainsFunc(m.vms, func(vm *modelVM) bool { return vm.router.lookup(id).cold.Load() })
		if id[len(id)-1] == '0' && !cold {
			n++
		}
	}
	return n
}

// TestModelRestartBesideWarm restarts one of three replicas of each shard. They
// must warm up beside the warm replicas if queries leave their attempts at cold
// upstreams running.
func TestModelRestartBesideWarm(t *testing.T) {
	for _, keep := range []bool{true, false} {
		var healthy, ramping, warmed summary
		for seed := range uint64(modelSeeds) {
			m := runModel(setup{seed: seed + 1, vms: 8, perVM: 60, duration: 8 * time.Second, hedge: true, keepTrials: keep,
				at: map[time.Duration]func(*model){4 * time.Second: restartOneOfThree}})
			before, _ := m.quantile(0.99, time.Second, 4*time.Second)
			after, missing := m.quantile(0.99, 4*time.Second, 7*time.Second)
			healthy.add(milliseconds(before))
			ramping.add(milliseconds(after))
			warmed.add(float64(m.warmAfterRestart()))
			if m.maxOverCapacity > 0 || missing > 0 || keep && (m.warmAfterRestart() < 10 || after > 2*before) {
				t.Errorf("seed %d: %d warm, p99 %s before, %s after, %d partial, %d above the capacity",
					seed+1, m.warmAfterRestart(), before, after, missing, m.maxOverCapacity)
			}
		}
		t.Logf("trials left running %t: p99 healthy %s ms, after the restart %s ms, warm again %s of 10",
			keep, &healthy, &ramping, &warmed)
	}
}

// TestModelColdStart sends the full load to cold upstreams.
func TestModelColdStart(t *testing.T) {
	var full, partial summary
	for seed := range uint64(modelSeeds) {
		m := runModel(setup{seed: seed + 1, vms: 8, perVM: 60, duration: 6 * time.Second, hedge: true, cold: true})
		if m.maxOverCapacity > 0 {
			t.Errorf("seed %d: %d requests above the capacity of a cold upstream", seed+1, m.maxOverCapacity)
		}
		steady, _ := m.quantile(0.99, 3*time.Second, 5*time.Second)
		_, missing := m.quantile(0.99, 0, 5*time.Second)
		full.add(milliseconds(m.fullServiceAt(2 * steady)))
		partial.add(float64(missing))
	}
	t.Logf("full service after %s ms, partial answers %s", &full, &partial)
}

// fullServiceAt returns the offset after which no window of 100 ms has a p90
// above the limit or a partial answer.
func (m *model) fullServiceAt(limit time.Duration) time.Duration {
	const window = 100 * time.Millisecond
	last := time.Duration(0)
	for from := time.Duration(0); from < 5*time.Second; from += window {
		tail, missing := m.quantile(0.9, from, from+window)
		if tail > limit || missing > 0 {
			last = from + window
		}
	}
	return last
}
