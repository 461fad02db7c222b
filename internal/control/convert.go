package control

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

func curveToWire(s quota.Share) *peerv1.Curve {
	return &peerv1.Curve{Rate: s.Rate, Capacity: s.Capacity, Tokens: s.Tokens}
}

func curveFromWire(c *peerv1.Curve) quota.Share {
	return quota.Share{Rate: c.GetRate(), Capacity: c.GetCapacity(), Tokens: c.GetTokens()}
}

func lendToWire(s *peerv1.Sender, r quota.LendRequest) *peerv1.LendRequest {
	out := &peerv1.LendRequest{Sender: s, Id: r.ID}
	for _, w := range r.Wants {
		out.Wants = append(out.Wants, &peerv1.Want{Customer: w.Customer, Want: curveToWire(w.Want), Have: curveToWire(w.Have)})
	}
	return out
}

func lendFromWire(r *peerv1.LendRequest) quota.LendRequest {
	out := quota.LendRequest{Borrower: r.GetSender().GetVm(), Incarnation: r.GetSender().GetIncarnation(), ID: r.GetId()}
	for _, w := range r.GetWants() {
		out.Wants = append(out.Wants, quota.Want{Customer: w.GetCustomer(), Want: curveFromWire(w.GetWant()), Have: curveFromWire(w.GetHave())})
	}
	return out
}

func grantsToWire(grants []quota.Grant) []*peerv1.Grant {
	var out []*peerv1.Grant
	for _, g := range grants {
		out = append(out, &peerv1.Grant{Customer: g.Customer, Share: curveToWire(g.Share), Spare: g.Spare})
	}
	return out
}

func grantsFromWire(grants []*peerv1.Grant) []quota.Grant {
	var out []quota.Grant
	for _, g := range grants {
		out = append(out, quota.Grant{Customer: g.GetCustomer(), Share: curveFromWire(g.GetShare()), Spare: g.GetSpare()})
	}
	return out
}

func lendResponseToWire(r quota.LendResponse) *peerv1.LendResponse {
	return &peerv1.LendResponse{Id: r.ID, TermMs: r.Term.Milliseconds(), Grants: grantsToWire(r.Grants)}
}

func lendResponseFromWire(r *peerv1.LendResponse) quota.LendResponse {
	return quota.LendResponse{
		ID:     r.GetId(),
		Term:   time.Duration(r.GetTermMs()) * time.Millisecond,
		Grants: grantsFromWire(r.GetGrants()),
	}
}

func quotaDigestFromWire(s *peerv1.Sender, d *peerv1.Digest) quota.Digest {
	return quota.Digest{
		VM:          s.GetVm(),
		Incarnation: s.GetIncarnation(),
		Revision:    d.GetListRevision(),
		Settled:     d.GetSettled(),
		Draining:    d.GetDraining(),
	}
}

func listToWire(l *membership.List) *peerv1.VMList {
	out := &peerv1.VMList{Revision: l.Revision}
	for _, v := range l.VMs {
		out.Vms = append(out.Vms, &peerv1.VM{Id: v.ID, Zone: v.Zone, PeerAddress: v.PeerAddress, Leaving: v.Leaving})
	}
	return out
}

func listFromWire(l *peerv1.VMList) membership.List {
	vms := make([]membership.VM, 0, len(l.GetVms()))
	for _, v := range l.GetVms() {
		vms = append(vms, membership.VM{ID: v.GetId(), Zone: v.GetZone(), PeerAddress: v.GetPeerAddress(), Leaving: v.GetLeaving()})
	}
	return membership.List{Revision: l.GetRevision(), VMs: vms}
}

func fileToWire(f catalog.Published) *peerv1.File {
	return &peerv1.File{Name: f.Name, Revision: f.Revision, Content: f.Content, Publisher: f.Publisher}
}

func releaseFromWire(r *peerv1.ReleaseRequest) quota.Release {
	return quota.Release{
		Borrower:    r.GetSender().GetVm(),
		Incarnation: r.GetSender().GetIncarnation(),
		ID:          r.GetId(),
		Returned:    grantsFromWire(r.GetReturned()),
	}
}

func coldToWire(n routing.ColdNotice) *peerv1.ColdNotice {
	return &peerv1.ColdNotice{Upstream: n.Upstream, Instance: n.Instance, AgeMs: n.Age.Milliseconds()}
}

func coldFromWire(n *peerv1.ColdNotice) routing.ColdNotice {
	return routing.ColdNotice{Upstream: n.GetUpstream(), Instance: n.GetInstance(), Age: time.Duration(n.GetAgeMs()) * time.Millisecond}
}

// rampToWire rounds the age up, so that evidence never looks newer than it is.
func rampToWire(n routing.RampNotice) *peerv1.RampNotice {
	age := (n.Age + time.Millisecond - 1).Milliseconds()
	return &peerv1.RampNotice{Upstream: n.Upstream, Instance: n.Instance, Stage: int32(n.Stage), AgeMs: age}
}

func rampFromWire(n *peerv1.RampNotice) routing.RampNotice {
	return routing.RampNotice{
		Upstream: n.GetUpstream(),
		Instance: n.GetInstance(),
		Stage:    int(n.GetStage()),
		Age:      time.Duration(n.GetAgeMs()) * time.Millisecond,
	}
}
