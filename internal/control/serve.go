package control

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"ryecourse.example/ryecourse/internal/core/catalog"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

var errStopping = errors.New("the daemon is stopping or busy")

// PeerHandler handles RPCs from the other daemons of the fleet. It implements
// peerv1connect.PeerServiceHandler.
type PeerHandler struct{ control *Control }

// PeerHandler returns the handler for RPCs from other daemons.
func (c *Control) PeerHandler() *PeerHandler { return &PeerHandler{control: c} }

// runOnLoop runs f on the control goroutine, unless the sender's context ends
// before.
func (p *PeerHandler) runOnLoop(ctx context.Context, f func(now time.Time, c *Control)) error {
	if !p.control.loop.Call(ctx, func(now time.Time) { f(now, p.control) }) {
		return connect.NewError(connect.CodeUnavailable, errStopping)
	}
	return nil
}

// Exchange implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) Exchange(ctx context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	out := &peerv1.ExchangeResponse{}
	err := p.runOnLoop(ctx, func(now time.Time, c *Control) {
		s := c.deps.Disseminator
		c.runDisseminationActions(s.OnPeerDigest(now, req.GetSender().GetVm(), digestFromWire(req.GetDigest())))
		answer := s.Digest(now)
		out.Sender, out.Digest = c.sender(), digestToWire(answer)
		if answer.ListRevision > req.GetDigest().GetListRevision() {
			c.setList(out, s.List(), req.GetDigest().GetListRevision())
		}
	})
	return out, err
}

// FetchFiles implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) FetchFiles(ctx context.Context, req *peerv1.FetchFilesRequest) (*peerv1.FetchFilesResponse, error) {
	var set, base *catalog.FileSet
	err := p.runOnLoop(ctx, func(_ time.Time, c *Control) {
		set = c.deps.Disseminator.Files()
		base, _ = c.fileSetHistory.get(req.GetDigest())
	})
	switch {
	case err != nil:
		return nil, err
	case req.GetDigest() == "":
		return fullFilesResponse(set, revisionsFromWire(req.GetHave())), nil
	case base == nil:
		return &peerv1.FetchFilesResponse{UnknownDigest: true}, nil
	}
	return changedFilesResponse(base, set), nil
}

// Probe implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) Probe(ctx context.Context, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	out := &peerv1.ProbeResponse{}
	err := p.runOnLoop(ctx, func(now time.Time, c *Control) {
		claim, actions := c.deps.Quota.OnProbe(now, claimFromWire(req.GetSender(), req.GetClaim()))
		c.runQuotaActions(actions)
		out.Sender, out.Claim = c.sender(), claimToWire(claim)
	})
	return out, err
}

// Handover implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	err := p.runOnLoop(ctx, func(now time.Time, c *Control) {
		c.runQuotaActions(c.deps.Quota.OnHandover(now, handoverFromWire(req)))
	})
	return &peerv1.HandoverResponse{}, err
}

// Lend implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) Lend(ctx context.Context, req *peerv1.LendRequest) (*peerv1.LendResponse, error) {
	var out *peerv1.LendResponse
	err := p.runOnLoop(ctx, func(now time.Time, c *Control) {
		resp, actions := c.deps.Quota.OnLend(now, lendFromWire(req))
		c.runQuotaActions(actions)
		out = lendResponseToWire(resp)
	})
	return out, err
}

// Release implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) Release(ctx context.Context, req *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	err := p.runOnLoop(ctx, func(now time.Time, c *Control) {
		c.runQuotaActions(c.deps.Quota.OnRelease(now, releaseFromWire(req)))
	})
	return &peerv1.ReleaseResponse{}, err
}

// Notify implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) Notify(ctx context.Context, req *peerv1.NotifyRequest) (*peerv1.NotifyResponse, error) {
	err := p.runOnLoop(ctx, func(now time.Time, c *Control) {
		for _, n := range req.GetCold() {
			c.deps.Router.OnColdNotice(now, coldFromWire(n))
		}
		for _, n := range req.GetRamps() {
			c.deps.Router.OnRampNotice(now, rampFromWire(n))
		}
	})
	return &peerv1.NotifyResponse{}, err
}

// AskRamps implements peerv1connect.PeerServiceHandler.
func (p *PeerHandler) AskRamps(ctx context.Context, req *peerv1.AskRampsRequest) (*peerv1.AskRampsResponse, error) {
	out := &peerv1.AskRampsResponse{}
	err := p.runOnLoop(ctx, func(now time.Time, c *Control) {
		out.Answers = answersToWire(c.deps.Router.OnRampQuery(now, questionsFromWire(req.GetQuestions())))
	})
	return out, err
}
