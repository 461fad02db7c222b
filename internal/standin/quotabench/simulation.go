package main

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// simulation is one simulated run of a scenario with a policy and a seed.
type simulation struct {
	fleet     *quotasim.Fleet
	scenario  scenario
	policy    policy
	positions []position
	stats     map[string]*customerStats
	customers []catalog.Customer
	nextID    int
}

// position is a slot of the fleet. Some scenarios replace its VM.
type position struct {
	vm membership.VM
	// serving reports whether the load balancer sends requests to the VM.
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
			// Demand starts from zero, when the fleet has warmed up.
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

// admitOrRetry admits or refuses a request, or schedules a retry of one that may
// get a token within quota.FetchTimeout. It counts the request by its final
// decision.
func (sim *simulation) admitOrRetry(c catalog.Customer, i int, since time.Duration) {
	stats := sim.stats[c.Name]
	now := sim.fleet.Now
	withinLimit := stats.curve.HasRoom(now)
	ok, retryLater := sim.policy.admit(i, c.Name, now > since)
	if ok {
		stats.curve.Admit(now)
	}
	if !ok && retryLater && now-since < quota.FetchTimeout {
		sim.fleet.After(quota.FetchRetryInterval, nil, func() { sim.admitOrRetry(c, i, since) })
		return
	}
	if since < sim.scenario.measureFrom {
		return
	}
	stats.offered++
	stats.totalWait += now - since
	if now > since {
		stats.waited++
	}
	if !ok && withinLimit {
		stats.wronglyRefused++
	}
}

func (sim *simulation) setPartition(i, partition int) {
	sim.positions[i].partition = partition
	sim.policy.setPartition(i, partition)
}

// replace kills the VM at a position and starts a new one there.
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
	offered, wronglyRefused, waitedCount := 0, 0, 0
	var totalWait time.Duration
	for _, c := range sim.customers {
		stats := sim.stats[c.Name]
		out.excess = max(out.excess, stats.curve.Excess())
		if stats.offered == 0 || c.Name == sim.scenario.overloading {
			continue
		}
		offered += stats.offered
		wronglyRefused += stats.wronglyRefused
		waitedCount += stats.waited
		totalWait += stats.totalWait
		out.worstServed = min(out.worstServed, 100-percent(stats.wronglyRefused, stats.offered))
	}
	out.waited = percent(waitedCount, offered)
	if waitedCount > 0 {
		out.meanWaitMS = totalWait.Seconds() * 1000 / float64(waitedCount)
	}
	out.wronglyRefused = percent(wronglyRefused, offered)
	seconds := sim.scenario.until.Seconds() * float64(len(sim.positions))
	out.messages = float64(sim.policy.messages()) / seconds
	out.bytes = float64(sim.policy.bytes()) / seconds
	return out
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}
