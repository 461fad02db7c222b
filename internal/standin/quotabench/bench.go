package main

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// simulation is one run: a scenario, a policy and a seed.
type simulation struct {
	fleet     *quotasim.Fleet
	scenario  scenario
	policy    policy
	positions []position
	stats     map[string]*customerStats
	customers []catalog.Customer
	nextID    int
}

// position is a place in the fleet; its VM is replaced at times.
type position struct {
	vm membership.VM
	// serving tells whether the balancer sends requests there.
	serving   bool
	partition int
}

func run(seed uint64, s scenario, build func(*simulation) policy) result {
	sim := &simulation{
		fleet:     quotasim.NewFleet(seed),
		scenario:  s,
		stats:     make(map[string]*customerStats),
		customers: customers(),
		nextID:    100,
	}
	for _, vm := range quotasim.NineVMs() {
		sim.positions = append(sim.positions, position{vm: vm, serving: true})
	}
	sim.fleet.PublishCatalog(customers(), quotasim.FourZones())
	sim.publish()
	sim.policy = build(sim)
	for i := range sim.positions {
		sim.policy.start(i)
	}
	for _, c := range sim.customers {
		sim.stats[c.Name] = &customerStats{curve: quotasim.Curve{Rate: c.Rate, Burst: c.Burst}}
		if s.onlyCustomer == "" || s.onlyCustomer == c.Name {
			// Demand begins when the fleet is warm, from nothing.
			sim.fleet.After(warmUp, nil, func() { sim.onArrival(c) })
		}
	}
	if s.scheduleFaults != nil {
		s.scheduleFaults(sim)
	}
	sim.fleet.Run(s.until)
	return sim.result()
}

func (sim *simulation) publish() {
	vms := make([]membership.VM, len(sim.positions))
	for i := range sim.positions {
		vms[i] = sim.positions[i].vm
	}
	sim.fleet.PublishList(vms)
}

func (sim *simulation) onArrival(c catalog.Customer) {
	rate := c.Rate * sim.scenario.rateFraction
	if c.Name == sim.scenario.overloading {
		rate = c.Rate * 5
	}
	gap := time.Duration(sim.fleet.Rand.ExpFloat64() / rate * float64(time.Second))
	sim.fleet.After(gap, nil, func() { sim.onArrival(c) })
	i := sim.scenario.pickPosition(sim)
	for !sim.positions[i].serving {
		i = (i + 1) % len(sim.positions)
	}
	sim.admitOrRetry(c, i, sim.fleet.Now)
}

// admitOrRetry admits or refuses a request. One that waits for a token is judged at the
// end of its patience.
func (sim *simulation) admitOrRetry(c catalog.Customer, i int, since time.Duration) {
	t := sim.stats[c.Name]
	now := sim.fleet.Now
	withinLimit := t.curve.HasRoom(now)
	ok, retryLater := sim.policy.admit(i, c.Name, now > since)
	if ok {
		t.curve.Admit(now)
	}
	if !ok && retryLater && now-since < quota.FetchTimeout {
		sim.fleet.After(quota.FetchRetryInterval, nil, func() { sim.admitOrRetry(c, i, since) })
		return
	}
	if since < sim.scenario.measureFrom {
		return
	}
	t.offered++
	t.totalWait += now - since
	if now > since {
		t.waited++
	}
	if !ok && withinLimit {
		t.wronglyRefused++
	}
}

func (sim *simulation) setPartition(i, group int) {
	sim.positions[i].partition = group
	sim.policy.setPartition(i, group)
}

// replace ends the VM at a position at once and starts another.
func (sim *simulation) replace(i int) {
	sim.policy.kill(i)
	sim.nextID++
	p := &sim.positions[i]
	p.vm = membership.VM{ID: fmt.Sprintf("vm-%d", sim.nextID), Zone: p.vm.Zone}
	p.serving = false
	sim.publish()
	sim.policy.start(i)
	sim.fleet.After(joinTime, nil, func() { sim.positions[i].serving = true })
}

func (sim *simulation) result() result {
	out := result{worstServed: 100}
	offered, wrongly, waits := 0, 0, 0
	var waited time.Duration
	for _, c := range sim.customers {
		t := sim.stats[c.Name]
		out.excess = max(out.excess, t.curve.Excess())
		if t.offered == 0 || c.Name == sim.scenario.overloading {
			continue
		}
		offered += t.offered
		wrongly += t.wronglyRefused
		waits += t.waited
		waited += t.totalWait
		out.worstServed = min(out.worstServed, 100-percent(t.wronglyRefused, t.offered))
	}
	out.waited = percent(waits, offered)
	if waits > 0 {
		out.meanWaitMS = waited.Seconds() * 1000 / float64(waits)
	}
	out.wronglyRefused = percent(wrongly, offered)
	seconds := sim.scenario.until.Seconds() * float64(len(sim.positions))
	out.messages = float64(sim.policy.messages()) / seconds
	out.bytes = float64(sim.policy.bytes()) / seconds
	return out
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}
