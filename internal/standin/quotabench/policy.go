package main

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// policy is a way to hold the limits.
type policy interface {
	start(i int)
	leave(i int)
	kill(i int)
	setGroup(i, group int)
	// admit decides, and tells whether another try a little later may succeed.
	admit(i int, customer string, repeated bool) (ok, again bool)
	messages() int
	bytes() int
}

type namedPolicy struct {
	name  string
	build func(*bench) policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"leases", newLeases},
		{"static split", func(r *bench) policy { return newLocal(r, 1/float64(len(r.positions))) }},
		{"full limit each", func(r *bench) policy { return newLocal(r, 1) }},
		{"one home", newHome},
		{"gossiped counters", newGossip},
	}
}

type curves map[string]*quotasim.Curve

func newCurves(r *bench, fraction float64) curves {
	out := make(curves)
	for _, c := range r.customers {
		out[c.Name] = &quotasim.Curve{Rate: c.Rate * fraction, Burst: max(c.Burst*fraction, 1)}
	}
	return out
}

func (c curves) admit(at time.Duration, customer string) bool {
	return c[customer].HasRoom(at) && c[customer].Admit(at)
}

// quiet has no messages and no reaction to faults.
type quiet struct{}

func (quiet) leave(int)         {}
func (quiet) kill(int)          {}
func (quiet) setGroup(int, int) {}
func (quiet) messages() int     { return 0 }
func (quiet) bytes() int        { return 0 }

// local gives each VM a fixed part of each limit. A new VM starts with a full
// bucket.
type local struct {
	quiet
	r        *bench
	fraction float64
	byVM     []curves
}

func newLocal(r *bench, fraction float64) policy {
	return &local{r: r, fraction: fraction, byVM: make([]curves, len(r.positions))}
}

func (p *local) start(i int) { p.byVM[i] = newCurves(p.r, p.fraction) }

func (p *local) admit(i int, customer string, repeated bool) (ok, again bool) {
	return p.byVM[i].admit(p.r.fleet.Now, customer), false
}

// home sends all requests of a customer to one VM by rendezvous hashing over a
// list that lags. A VM that can't be reached refuses.
type home struct {
	quiet
	r     *bench
	byVM  map[string]curves
	seen  []membership.VM
	calls int
}

func newHome(r *bench) policy {
	return &home{r: r, byVM: make(map[string]curves)}
}

func (p *home) start(i int) {
	p.byVM[p.r.positions[i].vm.ID] = newCurves(p.r, 1)
	vms := make([]membership.VM, len(p.r.positions))
	for j := range p.r.positions {
		vms[j] = p.r.positions[j].vm
	}
	if p.seen == nil {
		p.seen = vms
		return
	}
	p.r.fleet.After(p.r.fleet.ListLag, nil, func() { p.seen = vms })
}

func (p *home) kill(i int) { delete(p.byVM, p.r.positions[i].vm.ID) }

func (p *home) admit(i int, customer string, repeated bool) (ok, again bool) {
	vm, _ := membership.Rendezvous(customer, p.seen)
	p.calls++
	for j := range p.r.positions {
		if p.r.positions[j].vm.ID == vm.ID && p.r.positions[j].group == p.r.positions[i].group {
			return p.byVM[vm.ID].admit(p.r.fleet.Now, customer), false
		}
	}
	return false, false
}

func (p *home) messages() int { return p.calls }

// gossip lets every VM admit against all admissions that it has heard of.
type gossip struct {
	quiet
	r    *bench
	byVM []curves
}

const gossipDelay = 200 * time.Millisecond

func newGossip(r *bench) policy {
	return &gossip{r: r, byVM: make([]curves, len(r.positions))}
}

func (p *gossip) start(i int) { p.byVM[i] = newCurves(p.r, 1) }

func (p *gossip) admit(i int, customer string, repeated bool) (ok, again bool) {
	if !p.byVM[i].admit(p.r.fleet.Now, customer) {
		return false, false
	}
	p.r.fleet.After(gossipDelay, nil, func() {
		for j := range p.byVM {
			if j != i && p.r.positions[j].group == p.r.positions[i].group {
				p.byVM[j][customer].Admit(p.r.fleet.Now)
			}
		}
	})
	return true, false
}

// messages assumes one message to each other VM for each gossipDelay.
func (p *gossip) messages() int {
	rounds := int(p.r.scenario.until / gossipDelay)
	return rounds * len(p.byVM) * (len(p.byVM) - 1)
}
