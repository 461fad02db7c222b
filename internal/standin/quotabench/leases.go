package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// fetchStartDelay is the delay until the control goroutine handles a request for
// tokens.
const fetchStartDelay = 50 * time.Microsecond

// leases is the product's scheme: owned shares that VMs lend to each other.
type leases struct {
	sim       *simulation
	nodes     []*quotasim.Node
	sentBytes int
}

func newLeases(sim *simulation) policy {
	p := &leases{sim: sim, nodes: make([]*quotasim.Node, len(sim.positions))}
	sim.fleet.OnAction = p.addSize
	return p
}

func (p *leases) start(i int) {
	p.nodes[i] = p.sim.fleet.Start(p.sim.positions[i].vm)
	p.nodes[i].Partition = p.sim.positions[i].partition
}

func (p *leases) leave(i int) { p.sim.fleet.Leave(p.nodes[i]) }
func (p *leases) kill(i int)  { p.sim.fleet.Kill(p.nodes[i]) }

func (p *leases) setPartition(i, partition int) {
	p.nodes[i].Partition = partition
	p.nodes[i].PlatformDown = partition != 0
}

func (p *leases) admit(i int, customer string, isRetry bool) (ok, retryLater bool) {
	n := p.nodes[i]
	admit := n.Daemon.Admit
	if isRetry {
		admit = n.Daemon.RetryAdmit
	}
	d := admit(p.sim.fleet.Time(), customer)
	if d.ShouldFetch {
		p.sim.fleet.After(fetchStartDelay, n, func() { p.sim.fleet.Fetch(n) })
	}
	return d.OK, d.ShouldFetch
}

func (p *leases) messages() int { return p.sim.fleet.Messages }
func (p *leases) bytes() int    { return p.sentBytes }

// addSize adds the encoded size of a message and its response, without the
// overhead of HTTP.
func (p *leases) addSize(n *quotasim.Node, a quota.Action) {
	sender := &peerv1.Sender{Fleet: "cz-central", Vm: n.VM.ID, Incarnation: 1 << 60, Zone: n.VM.Zone}
	switch a := a.(type) {
	case quota.SendProbe:
		claim := &peerv1.Claim{ListRevision: 1 << 20, Settled: true}
		p.sentBytes += 2 * proto.Size(&peerv1.ProbeRequest{Sender: sender, Claim: claim})
	case quota.SendLend:
		req := &peerv1.LendRequest{Sender: sender, Id: 1 << 20}
		resp := &peerv1.LendResponse{Id: 1 << 20, TermMs: 2000}
		for _, w := range a.Request.Requests {
			req.Wants = append(req.Wants, &peerv1.Want{Customer: w.Customer, Want: curve(w.Requested), Have: curve(w.Held)})
			resp.Grants = append(resp.Grants, &peerv1.Grant{Customer: w.Customer, Share: curve(w.Requested), Spare: 1 << 20, SpareTokens: 1 << 20, Holder: n.VM.ID})
		}
		p.sentBytes += proto.Size(req) + proto.Size(resp)
	case quota.SendRelease:
		req := &peerv1.ReleaseRequest{Sender: sender, Id: 1 << 20}
		for _, g := range a.Release.Returned {
			req.Returned = append(req.Returned, &peerv1.Grant{Customer: g.Customer, Share: curve(g.Share)})
		}
		p.sentBytes += proto.Size(req)
	}
}

func curve(s lease.Share) *peerv1.Curve {
	return &peerv1.Curve{Rate: s.Rate, Capacity: s.Capacity, Tokens: s.Tokens}
}
