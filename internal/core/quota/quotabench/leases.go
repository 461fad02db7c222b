package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// nudge is the time until the control goroutine sees a request for tokens.
const nudge = 50 * time.Microsecond

// leases is the product's scheme.
type leases struct {
	r     *bench
	nodes []*quotasim.Node
	size  int
}

func newLeases(r *bench) policy {
	p := &leases{r: r, nodes: make([]*quotasim.Node, len(r.positions))}
	r.fleet.OnAction = p.measure
	return p
}

func (p *leases) start(i int) {
	p.nodes[i] = p.r.fleet.Start(p.r.positions[i].vm)
	p.nodes[i].Group = p.r.positions[i].group
}

func (p *leases) leave(i int) { p.r.fleet.Leave(p.nodes[i]) }
func (p *leases) kill(i int)  { p.r.fleet.Kill(p.nodes[i]) }

func (p *leases) setGroup(i, group int) {
	p.nodes[i].Group = group
	p.nodes[i].PlatformDown = group != 0
}

func (p *leases) admit(i int, customer string, repeated bool) (ok, again bool) {
	n := p.nodes[i]
	admit := n.Daemon.Admit
	if repeated {
		admit = n.Daemon.AdmitAgain
	}
	d := admit(p.r.fleet.Time(), customer)
	if d.Fetch {
		p.r.fleet.At(nudge, n, func() { p.r.fleet.Fetch(n) })
	}
	return d.OK, d.Fetch
}

func (p *leases) messages() int { return p.r.fleet.Messages }
func (p *leases) bytes() int    { return p.size }

// measure adds the size of a message and its answer as protocol buffers,
// without what HTTP adds.
func (p *leases) measure(n *quotasim.Node, a quota.Action) {
	sender := &peerv1.Sender{Fleet: "cz-central", Vm: n.VM.ID, Incarnation: 1 << 60, Zone: n.VM.Zone}
	switch a := a.(type) {
	case quota.Probe:
		digest := &peerv1.Digest{ConfigVersion: 1 << 20, ConfigDigest: "0123456789abcdef", ListRevision: 1 << 20, ListAgeMs: 1000}
		p.size += 2 * proto.Size(&peerv1.ExchangeRequest{Sender: sender, Digest: digest})
	case quota.SendLend:
		req := &peerv1.LendRequest{Sender: sender, Id: 1 << 20, TermMs: 2000}
		resp := &peerv1.LendResponse{TermMs: 2000}
		for _, w := range a.Request.Wants {
			req.Wanted = append(req.Wanted, share(w.Limit, w.Want), share(w.Limit, w.Have))
			resp.Granted = append(resp.Granted, share(w.Limit, w.Want))
		}
		p.size += proto.Size(req) + proto.Size(resp)
	case quota.SendRelease:
		req := &peerv1.ReleaseRequest{Sender: sender, Id: 1 << 20}
		for _, g := range a.Release.Returned {
			req.Shares = append(req.Shares, share(g.Customer, g.Share))
		}
		p.size += proto.Size(req)
	}
}

func share(limit string, s lease.Share) *peerv1.Share {
	return &peerv1.Share{Limit: "customer/" + limit, RateMilli: s.Rate / 1000, CapacityMilli: s.Capacity / 1000, TokensMilli: s.Tokens / 1000}
}
