package main

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// policy is a scheme that enforces the customers' limits over the fleet.
type policy interface {
	start(i int)
	leave(i int)
	kill(i int)
	setPartition(i, partition int)
	// admit decides on a request, and reports whether a retry after
	// quota.FetchRetryInterval may succeed.
	admit(i int, customer string, isRetry bool) (ok, retryLater bool)
	messages() int
	bytes() int
}

type namedPolicy struct {
	name  string
	build func(*simulation) policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"leases", newLeases},
		{"static split", func(sim *simulation) policy { return newLocal(sim, 1/float64(len(sim.positions))) }},
		{"full limit each", func(sim *simulation) policy { return newLocal(sim, 1) }},
		{"one home", newSingleVM},
		{"gossiped counters", newGossip},
	}
}

type curves map[string]*quotasim.Curve

func newCurves(sim *simulation, fraction float64) curves {
	out := make(curves)
	for _, c := range sim.customers {
		out[c.Name] = &quotasim.Curve{Rate: c.Rate * fraction, Burst: max(c.Burst*fraction, 1)}
	}
	return out
}

func (c curves) admit(at time.Duration, customer string) bool {
	return c[customer].HasRoom(at) && c[customer].Admit(at)
}

// passive is the part of a policy that sends no messages and ignores faults.
type passive struct{}

func (passive) leave(int)             {}
func (passive) kill(int)              {}
func (passive) setPartition(int, int) {}
func (passive) messages() int         { return 0 }
func (passive) bytes() int            { return 0 }

// local gives each VM a fixed fraction of each limit. A new VM starts with a full
// bucket.
type local struct {
	passive
	sim      *simulation
	fraction float64
	byVM     []curves
}

func newLocal(sim *simulation, fraction float64) policy {
	return &local{sim: sim, fraction: fraction, byVM: make([]curves, len(sim.positions))}
}

func (p *local) start(i int) { p.byVM[i] = newCurves(p.sim, p.fraction) }

func (p *local) admit(i int, customer string, isRetry bool) (ok, retryLater bool) {
	return p.byVM[i].admit(p.sim.fleet.Now, customer), false
}

// singleVM has all requests of a customer decided by one VM, which rendezvous
// hashing selects from a delayed VM list. Requests are refused while it is
// unreachable.
type singleVM struct {
	passive
	sim        *simulation
	byVM       map[string]curves
	listed     []membership.VM
	admissions int
}

func newSingleVM(sim *simulation) policy {
	return &singleVM{sim: sim, byVM: make(map[string]curves)}
}

func (p *singleVM) start(i int) {
	p.byVM[p.sim.positions[i].vm.ID] = newCurves(p.sim, 1)
	vms := make([]membership.VM, len(p.sim.positions))
	for j := range p.sim.positions {
		vms[j] = p.sim.positions[j].vm
	}
	if p.listed == nil {
		p.listed = vms
		return
	}
	p.sim.fleet.After(p.sim.fleet.ListLag, nil, func() { p.listed = vms })
}

func (p *singleVM) kill(i int) { delete(p.byVM, p.sim.positions[i].vm.ID) }

func (p *singleVM) admit(i int, customer string, isRetry bool) (ok, retryLater bool) {
	vm, _ := membership.Rendezvous(customer, p.listed)
	p.admissions++
	for j := range p.sim.positions {
		if p.sim.positions[j].vm.ID == vm.ID && p.sim.positions[j].partition == p.sim.positions[i].partition {
			return p.byVM[vm.ID].admit(p.sim.fleet.Now, customer), false
		}
	}
	return false, false
}

func (p *singleVM) messages() int { return p.admissions }

// gossip has each VM enforce the full limit, counting its own admissions and those
// that other VMs reported to it after gossipDelay.
type gossip struct {
	passive
	sim  *simulation
	byVM []curves
}

const gossipDelay = 200 * time.Millisecond

func newGossip(sim *simulation) policy {
	return &gossip{sim: sim, byVM: make([]curves, len(sim.positions))}
}

func (p *gossip) start(i int) { p.byVM[i] = newCurves(p.sim, 1) }

func (p *gossip) admit(i int, customer string, isRetry bool) (ok, retryLater bool) {
	if !p.byVM[i].admit(p.sim.fleet.Now, customer) {
		return false, false
	}
	p.sim.fleet.After(gossipDelay, nil, func() {
		for j := range p.byVM {
			if j != i && p.sim.positions[j].partition == p.sim.positions[i].partition {
				p.byVM[j][customer].Admit(p.sim.fleet.Now)
			}
		}
	})
	return true, false
}

// messages assumes that each VM sends one message to each other VM per gossipDelay.
func (p *gossip) messages() int {
	rounds := int(p.sim.scenario.until / gossipDelay)
	return rounds * len(p.byVM) * (len(p.byVM) - 1)
}
