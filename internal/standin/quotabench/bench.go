package main

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// bench is one run: a scenario, a policy and a seed.
type bench struct {
	fleet     *quotasim.Fleet
	scenario  scenario
	policy    policy
	positions []position
	tallies   map[string]*tally
	customers []catalog.Customer
	nextID    int
}

// position is a place in the fleet; its VM is replaced at times.
type position struct {
	vm membership.VM
	// serving tells whether the balancer sends requests there.
	serving bool
	group   int
}

func run(seed uint64, s scenario, build func(*bench) policy) result {
	r := &bench{
		fleet:     quotasim.NewFleet(seed),
		scenario:  s,
		tallies:   make(map[string]*tally),
		customers: customers(),
		nextID:    100,
	}
	for _, vm := range quotasim.NineVMs() {
		r.positions = append(r.positions, position{vm: vm, serving: true})
	}
	r.fleet.PublishCatalog(customers(), quotasim.FourZones())
	r.publish()
	r.policy = build(r)
	for i := range r.positions {
		r.policy.start(i)
	}
	for _, c := range r.customers {
		r.tallies[c.Name] = &tally{curve: quotasim.Curve{Rate: c.Rate, Burst: c.Burst}}
		if s.only == "" || s.only == c.Name {
			// Demand begins when the fleet is warm, from nothing.
			r.fleet.After(warmUp, nil, func() { r.arrive(c) })
		}
	}
	if s.begin != nil {
		s.begin(r)
	}
	r.fleet.Run(s.until)
	return r.result()
}

func (r *bench) publish() {
	vms := make([]membership.VM, len(r.positions))
	for i := range r.positions {
		vms[i] = r.positions[i].vm
	}
	r.fleet.PublishList(vms)
}

func (r *bench) arrive(c catalog.Customer) {
	rate := c.Rate * r.scenario.load
	if c.Name == r.scenario.greedy {
		rate = c.Rate * 5
	}
	gap := time.Duration(r.fleet.Rand.ExpFloat64() / rate * float64(time.Second))
	r.fleet.After(gap, nil, func() { r.arrive(c) })
	i := r.scenario.place(r)
	for !r.positions[i].serving {
		i = (i + 1) % len(r.positions)
	}
	r.try(c, i, r.fleet.Now)
}

// try admits or refuses a request. One that waits for a token is judged at the
// end of its patience.
func (r *bench) try(c catalog.Customer, i int, since time.Duration) {
	t := r.tallies[c.Name]
	now := r.fleet.Now
	room := t.curve.HasRoom(now)
	ok, again := r.policy.admit(i, c.Name, now > since)
	if ok {
		t.curve.Admit(now)
	}
	if !ok && again && now-since < quota.FetchTimeout {
		r.fleet.After(quota.FetchRetryInterval, nil, func() { r.try(c, i, since) })
		return
	}
	if since < r.scenario.judgeFrom {
		return
	}
	t.offered++
	t.waited += now - since
	if now > since {
		t.waits++
	}
	if !ok && room {
		t.wrongly++
	}
}

func (r *bench) setGroup(i, group int) {
	r.positions[i].group = group
	r.policy.setGroup(i, group)
}

// replace ends the VM at a position at once and starts another.
func (r *bench) replace(i int) {
	r.policy.kill(i)
	r.nextID++
	p := &r.positions[i]
	p.vm = membership.VM{ID: fmt.Sprintf("vm-%d", r.nextID), Zone: p.vm.Zone}
	p.serving = false
	r.publish()
	r.policy.start(i)
	r.fleet.After(join, nil, func() { r.positions[i].serving = true })
}

func (r *bench) result() result {
	out := result{worst: 100}
	offered, wrongly, waits := 0, 0, 0
	var waited time.Duration
	for _, c := range r.customers {
		t := r.tallies[c.Name]
		out.excess = max(out.excess, t.curve.Excess())
		if t.offered == 0 || c.Name == r.scenario.greedy {
			continue
		}
		offered += t.offered
		wrongly += t.wrongly
		waits += t.waits
		waited += t.waited
		out.worst = min(out.worst, 100-percent(t.wrongly, t.offered))
	}
	out.waits = percent(waits, offered)
	if waits > 0 {
		out.wait = waited.Seconds() * 1000 / float64(waits)
	}
	out.wrongly = percent(wrongly, offered)
	seconds := r.scenario.until.Seconds() * float64(len(r.positions))
	out.messages = float64(r.policy.messages()) / seconds
	out.bytes = float64(r.policy.bytes()) / seconds
	return out
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}
