package control

import (
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// maxNoticeRecipients is the maximum number of daemons that a notice is sent to. A
// fleet within this limit is notified as a whole; in a larger fleet only daemons of
// the same zone are.
const maxNoticeRecipients = 32

// runRouterActions executes the actions of the router. All notices of one tick are
// sent to each peer in one message.
func (c *Control) runRouterActions(actions []routing.Action) {
	req := &peerv1.NotifyRequest{}
	for _, a := range actions {
		switch a := a.(type) {
		case routing.ColdNotice:
			req.Cold = append(req.Cold, coldToWire(a))
		case routing.RampNotice:
			req.Ramps = append(req.Ramps, rampToWire(a))
		case routing.RampQuery:
			c.queryRamps(a)
		case routing.Audit:
			c.deps.Trail.Add(audit.Entry{
				Time: a.At, Kind: "upstream_" + string(a.Change), Subject: a.Subject, Cause: string(a.Cause),
			})
		}
	}
	if len(req.Cold)+len(req.Ramps) > 0 {
		c.notify(req)
	}
}

// notify sends the notices to daemons that share upstreams with this one, with at
// most one message in flight to each. Peers that miss a notice get the same
// information through their ramp queries.
func (c *Control) notify(req *peerv1.NotifyRequest) {
	req.Sender = c.sender()
	for _, vm := range c.noticeRecipients() {
		if c.noticePending[vm.PeerAddress] {
			continue
		}
		c.noticePending[vm.PeerAddress] = c.callPeer(func() {
			defer c.loop.Post(func(time.Time) { delete(c.noticePending, vm.PeerAddress) })
			if err := c.deps.PeerClient.Notify(vm.PeerAddress, req); err != nil {
				c.deps.Log.Debug().Err(err).Str("peer", vm.ID).Msg("notice not delivered")
			}
		})
	}
}

func (c *Control) noticeRecipients() []membership.VM {
	list := c.deps.Disseminator.List()
	if list == nil {
		return nil
	}
	others := membership.Without(list.VMs, c.deps.Self.VM.ID)
	if len(others) <= maxNoticeRecipients {
		return others
	}
	zone := membership.InZone(others, c.deps.Self.VM.Zone)
	return membership.RendezvousN("notices/"+c.deps.Self.VM.ID, zone, maxNoticeRecipients)
}

func (c *Control) queryRamps(query routing.RampQuery) {
	list := c.deps.Disseminator.List()
	if list == nil {
		return
	}
	i := slices.IndexFunc(list.VMs, func(vm membership.VM) bool { return vm.ID == query.To })
	if i < 0 {
		return
	}
	addr := list.VMs[i].PeerAddress
	req := &peerv1.AskRampsRequest{Sender: c.sender(), Questions: questionsToWire(query.Questions)}
	c.callPeer(func() {
		resp, err := c.deps.PeerClient.AskRamps(addr, req)
		if err != nil {
			return
		}
		c.loop.Post(func(now time.Time) {
			c.deps.Router.OnRampAnswers(now, query.CreatedAt, answersFromWire(resp.GetAnswers()))
		})
	})
}
