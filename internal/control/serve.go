package control

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

var errStopping = errors.New("the daemon is stopping")

// Peers answers the other daemons of the fleet. It implements
// peerv1connect.PeerServiceHandler.
type Peers struct{ control *Control }

// Peers returns the handler for other daemons' messages.
func (c *Control) Peers() *Peers { return &Peers{control: c} }

// on runs f on the control goroutine.
func (p *Peers) on(f func(now time.Time)) error {
	if !p.control.loop.Call(f) {
		return connect.NewError(connect.CodeUnavailable, errStopping)
	}
	return nil
}

// Exchange implements peerv1connect.PeerServiceHandler.
func (p *Peers) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	out := &peerv1.ExchangeResponse{}
	err := p.on(func(now time.Time) {
		c := p.control
		out.Sender, out.Digest = c.sender(), c.digest(now)
		if list := c.tracker.List(); list != nil && list.Revision > req.GetDigest().GetListRevision() {
			out.List = listToWire(list)
		}
	})
	return out, err
}

// FetchFiles implements peerv1connect.PeerServiceHandler.
func (p *Peers) FetchFiles(_ context.Context, req *peerv1.FetchFilesRequest) (*peerv1.FetchFilesResponse, error) {
	have := make(map[string]uint64, len(req.GetHave()))
	for _, h := range req.GetHave() {
		have[h.GetName()] = h.GetRevision()
	}
	out := &peerv1.FetchFilesResponse{}
	err := p.on(func(time.Time) {
		c := p.control
		if c.current == nil {
			return
		}
		out.ConfigVersion = c.current.Version
		for _, f := range c.files {
			out.All = append(out.All, &peerv1.FileRevision{Name: f.Name, Revision: f.Revision})
			if have[f.Name] != f.Revision {
				out.Files = append(out.Files, fileToWire(f))
			}
		}
	})
	return out, err
}

// Lend implements peerv1connect.PeerServiceHandler.
func (p *Peers) Lend(_ context.Context, req *peerv1.LendRequest) (*peerv1.LendResponse, error) {
	var out *peerv1.LendResponse
	err := p.on(func(now time.Time) {
		resp, actions := p.control.deps.Quota.OnLend(now, lendFromWire(req))
		p.control.carryOut(actions)
		out = lendResponseToWire(resp)
	})
	return out, err
}

// Release implements peerv1connect.PeerServiceHandler.
func (p *Peers) Release(_ context.Context, req *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	err := p.on(func(now time.Time) {
		p.control.carryOut(p.control.deps.Quota.OnRelease(now, releaseFromWire(req)))
	})
	return &peerv1.ReleaseResponse{}, err
}

// Notify implements peerv1connect.PeerServiceHandler.
func (p *Peers) Notify(_ context.Context, req *peerv1.NotifyRequest) (*peerv1.NotifyResponse, error) {
	out := &peerv1.NotifyResponse{}
	err := p.on(func(now time.Time) {
		r := p.control.deps.Router
		for _, n := range req.GetCold() {
			r.OnColdNotice(now, coldFromWire(n))
		}
		for _, n := range req.GetRamps() {
			r.OnRampNotice(now, rampFromWire(n))
		}
		for _, n := range r.OnRampQuery(now, routing.RampQuery{Upstreams: req.GetAsked()}) {
			out.Ramps = append(out.Ramps, rampToWire(n))
		}
	})
	return out, err
}
