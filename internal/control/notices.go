package control

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// carryOutRouting runs the actions of the router. All notices of one tick go
// out in one message to each peer.
func (c *Control) carryOutRouting(actions []routing.Action) {
	req := &peerv1.NotifyRequest{}
	for _, a := range actions {
		switch a := a.(type) {
		case routing.ColdNotice:
			req.Cold = append(req.Cold, coldToWire(a))
		case routing.RampNotice:
			req.Ramps = append(req.Ramps, rampToWire(a))
		case routing.RampQuery:
			req.Asked = append(req.Asked, a.Upstreams...)
		case routing.Audit:
			c.deps.Trail.Add(audit.Entry{
				Time: a.At, Kind: "upstream_" + string(a.Change), Subject: a.Subject, Cause: string(a.Cause),
			})
		}
	}
	if len(req.Cold)+len(req.Ramps)+len(req.Asked) > 0 {
		c.notify(req)
	}
}

// notify sends the notices to the daemons that share upstreams with this one.
func (c *Control) notify(req *peerv1.NotifyRequest) {
	list := c.tracker.List()
	if list == nil {
		return
	}
	req.Sender = c.sender()
	for _, vm := range c.sharers(list.VMs) {
		c.calls.Go(func() {
			resp, err := c.deps.Peers.Notify(vm.PeerAddress, req)
			if err != nil {
				c.deps.Log.Debug().Err(err).Str("peer", vm.ID).Msg("notice lost")
				return
			}
			c.loop.Post(func(now time.Time) {
				for _, n := range resp.GetRamps() {
					c.deps.Router.OnRampNotice(now, rampFromWire(n))
				}
			})
		})
	}
}

// maxSharers bounds the daemons that hear notices: the whole fleet while it is
// small, and the zone's daemons beyond that.
const maxSharers = 32

func (c *Control) sharers(vms []membership.VM) []membership.VM {
	others := membership.Without(vms, c.deps.Self.VM.ID)
	if len(others) <= maxSharers {
		return others
	}
	zone := membership.InZone(others, c.deps.Self.VM.Zone)
	key := fmt.Sprintf("notices/%s", c.deps.Self.VM.ID)
	return membership.RendezvousN(key, zone, maxSharers)
}
