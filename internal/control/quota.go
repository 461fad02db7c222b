package control

import (
	"time"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/core/quota"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// carryOut runs the actions of the quota manager. Peer calls run on the call
// pool and post their results back.
func (c *Control) carryOut(actions []quota.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quota.SendLend:
			c.sendLend(a)
		case quota.SendRelease:
			c.sendRelease(a)
		case quota.Probe:
			c.probe(a)
		case quota.Audit:
			c.auditQuota(a)
		}
	}
}

func (c *Control) sendLend(a quota.SendLend) {
	req := lendToWire(c.sender(), a.Request)
	c.calls.Go(func() {
		resp, err := c.deps.Peers.Lend(a.To.PeerAddress, req)
		c.loop.Post(func(now time.Time) {
			if err != nil {
				c.deps.Quota.OnLendFailed(now, a.To.ID, a.Request.ID)
				return
			}
			c.carryOut(c.deps.Quota.OnGranted(now, a.To.ID, lendResponseFromWire(resp)))
		})
	})
}

func (c *Control) sendRelease(a quota.SendRelease) {
	req := &peerv1.ReleaseRequest{Sender: c.sender(), Id: a.Release.ID, Returned: grantsToWire(a.Release.Returned)}
	c.calls.Go(func() {
		if err := c.deps.Peers.Release(a.To.PeerAddress, req); err != nil {
			c.deps.Log.Debug().Err(err).Str("peer", a.To.ID).Msg("release lost")
		}
	})
}

func (c *Control) probe(a quota.Probe) {
	req := &peerv1.ExchangeRequest{Sender: c.sender(), Digest: c.digest(time.Now())}
	c.calls.Go(func() {
		resp, err := c.deps.Peers.Exchange(a.To.PeerAddress, req)
		if err != nil {
			return
		}
		c.loop.Post(func(now time.Time) {
			if resp.GetList() != nil {
				age := time.Duration(resp.GetDigest().GetListAgeMs()) * time.Millisecond
				c.onList(now, listFromWire(resp.GetList()), a.AskedAt.Add(-age))
			}
			c.carryOut(c.deps.Quota.OnDigest(now, a.AskedAt, quotaDigestFromWire(resp.GetSender(), resp.GetDigest())))
		})
	})
}

func (c *Control) auditQuota(a quota.Audit) {
	subject := a.Customer
	if subject == "" {
		subject = c.deps.Self.VM.ID
	}
	c.deps.Trail.Add(audit.Entry{Time: a.At, Kind: string(a.Event), Subject: subject, Cause: quotaCause(a)})
}
