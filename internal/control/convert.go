package control

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// convert returns the elements of in converted by f, or nil if there are none.
func convert[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = f(a)
	}
	return out
}

// ceilMs rounds up to whole milliseconds, so that an age is never understated.
func ceilMs(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// maxAge is the upper bound of durations received from peers.
const maxAge = 24 * time.Hour

// milliseconds converts a received duration. Values outside the range from 0 to
// maxAge are clamped, so that a large age can't overflow to a small one.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

const unknownAgeMs = -1

func digestToWire(d dissemination.Digest) *peerv1.Digest {
	age := int64(unknownAgeMs)
	if d.ListAge != dissemination.UnknownAge {
		age = ceilMs(d.ListAge)
	}
	return &peerv1.Digest{ConfigVersion: d.ConfigVersion, ConfigDigest: d.ConfigDigest, ListRevision: d.ListRevision, ListAgeMs: age}
}

func digestFromWire(d *peerv1.Digest) dissemination.Digest {
	age := dissemination.UnknownAge
	if d.GetListAgeMs() >= 0 {
		age = milliseconds(d.GetListAgeMs())
	}
	return dissemination.Digest{ConfigVersion: d.GetConfigVersion(), ConfigDigest: d.GetConfigDigest(), ListRevision: d.GetListRevision(), ListAge: age}
}

func vmToWire(v membership.VM) *peerv1.VM {
	return &peerv1.VM{Id: v.ID, Zone: v.Zone, PeerAddress: v.PeerAddress, Leaving: v.Leaving}
}

func vmFromWire(v *peerv1.VM) membership.VM {
	return membership.VM{ID: v.GetId(), Zone: v.GetZone(), PeerAddress: v.GetPeerAddress(), Leaving: v.GetLeaving()}
}

func listToWire(l *membership.List) *peerv1.VMList {
	return &peerv1.VMList{Revision: l.Revision, Vms: convert(l.VMs, vmToWire)}
}

func listFromWire(l *peerv1.VMList) *membership.List {
	return &membership.List{Revision: l.GetRevision(), VMs: convert(l.GetVms(), vmFromWire)}
}

func revisionsToWire(in []catalog.FileRevision) []*peerv1.FileRevision {
	return convert(in, func(r catalog.FileRevision) *peerv1.FileRevision {
		return &peerv1.FileRevision{Name: r.Name, Revision: r.Revision}
	})
}

func revisionsFromWire(in []*peerv1.FileRevision) []catalog.FileRevision {
	return convert(in, func(r *peerv1.FileRevision) catalog.FileRevision {
		return catalog.FileRevision{Name: r.GetName(), Revision: r.GetRevision()}
	})
}

func filesToWire(in []catalog.File) []*peerv1.File {
	return convert(in, func(f catalog.File) *peerv1.File {
		return &peerv1.File{Name: f.Name, Revision: f.Revision, Content: f.Content, Publisher: f.Publisher, Through: f.ValidThrough}
	})
}

func filesFromWire(in []*peerv1.File) []catalog.File {
	return convert(in, func(f *peerv1.File) catalog.File {
		return catalog.File{Name: f.GetName(), Revision: f.GetRevision(), Content: f.GetContent(), Publisher: f.GetPublisher(), ValidThrough: f.GetThrough()}
	})
}

func shareToWire(s lease.Share) *peerv1.Curve {
	return &peerv1.Curve{Rate: s.Rate, Capacity: s.Capacity, Tokens: s.Tokens}
}

func shareFromWire(c *peerv1.Curve) lease.Share {
	return lease.Share{Rate: c.GetRate(), Capacity: c.GetCapacity(), Tokens: c.GetTokens()}
}

func claimToWire(d lease.Digest) *peerv1.Claim {
	return &peerv1.Claim{ListRevision: d.Revision, Settled: d.Settled, Draining: d.Draining}
}

func claimFromWire(s *peerv1.Sender, c *peerv1.Claim) lease.Digest {
	return lease.Digest{
		VM:          s.GetVm(),
		Incarnation: s.GetIncarnation(),
		Revision:    c.GetListRevision(),
		Settled:     c.GetSettled(),
		Draining:    c.GetDraining(),
	}
}

func handoverToWire(s *peerv1.Sender, h lease.Handover) *peerv1.HandoverRequest {
	return &peerv1.HandoverRequest{
		Sender:      s,
		Claim:       claimToWire(h.Sender),
		To:          h.ToIncarnation,
		ListSettled: h.OlderListsExpired,
		Slots: convert(h.Slots, func(s lease.SlotHandover) *peerv1.SlotHandover {
			out := &peerv1.SlotHandover{Slot: int32(s.Slot), Withheld: make(map[string]*peerv1.Curve, len(s.Withheld))}
			for name, share := range s.Withheld {
				out.Withheld[name] = shareToWire(share)
			}
			return out
		}),
	}
}

func handoverFromWire(r *peerv1.HandoverRequest) lease.Handover {
	return lease.Handover{
		Sender:            claimFromWire(r.GetSender(), r.GetClaim()),
		ToIncarnation:     r.GetTo(),
		OlderListsExpired: r.GetListSettled(),
		Slots: convert(r.GetSlots(), func(s *peerv1.SlotHandover) lease.SlotHandover {
			out := lease.SlotHandover{Slot: int(s.GetSlot()), Withheld: make(map[string]lease.Share, len(s.GetWithheld()))}
			for name, curve := range s.GetWithheld() {
				out.Withheld[name] = shareFromWire(curve)
			}
			return out
		}),
	}
}

func lendToWire(s *peerv1.Sender, r quota.LendRequest) *peerv1.LendRequest {
	return &peerv1.LendRequest{Sender: s, Id: r.ID, Wants: convert(r.Requests, func(w lease.ShareRequest) *peerv1.Want {
		return &peerv1.Want{Customer: w.Customer, Want: shareToWire(w.Requested), Have: shareToWire(w.Held)}
	})}
}

func lendFromWire(r *peerv1.LendRequest) quota.LendRequest {
	return quota.LendRequest{
		Borrower:    r.GetSender().GetVm(),
		Incarnation: r.GetSender().GetIncarnation(),
		ID:          r.GetId(),
		Requests: convert(r.GetWants(), func(w *peerv1.Want) lease.ShareRequest {
			return lease.ShareRequest{Customer: w.GetCustomer(), Requested: shareFromWire(w.GetWant()), Held: shareFromWire(w.GetHave())}
		}),
	}
}

func grantsToWire(in []quota.Grant) []*peerv1.Grant {
	return convert(in, func(g quota.Grant) *peerv1.Grant {
		return &peerv1.Grant{
			Customer: g.Customer, Share: shareToWire(g.Share),
			Spare: g.SpareRate, SpareTokens: g.SpareTokens, Holder: g.LargestBorrower,
		}
	})
}

func grantsFromWire(in []*peerv1.Grant) []quota.Grant {
	return convert(in, func(g *peerv1.Grant) quota.Grant {
		return quota.Grant{
			Customer: g.GetCustomer(), Share: shareFromWire(g.GetShare()),
			SpareRate: g.GetSpare(), SpareTokens: g.GetSpareTokens(), LargestBorrower: g.GetHolder(),
		}
	})
}

// lendResponseToWire rounds the term down, so that the borrower's term is never
// longer than the lender's.
func lendResponseToWire(r quota.LendResponse) *peerv1.LendResponse {
	return &peerv1.LendResponse{Id: r.ID, TermMs: r.Term.Milliseconds(), Grants: grantsToWire(r.Grants)}
}

func lendResponseFromWire(r *peerv1.LendResponse) quota.LendResponse {
	return quota.LendResponse{ID: r.GetId(), Term: milliseconds(r.GetTermMs()), Grants: grantsFromWire(r.GetGrants())}
}

func releaseFromWire(r *peerv1.ReleaseRequest) quota.Release {
	return quota.Release{
		Borrower:    r.GetSender().GetVm(),
		Incarnation: r.GetSender().GetIncarnation(),
		ID:          r.GetId(),
		Returned:    grantsFromWire(r.GetReturned()),
	}
}
