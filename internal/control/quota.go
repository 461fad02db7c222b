package control

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/quota"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// runQuotaActions executes the actions of the quota manager. Peer calls run on a
// worker pool and post their results to the loop.
func (c *Control) runQuotaActions(actions []quota.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quota.SendLend:
			c.sendLend(a)
		case quota.SendRelease:
			c.sendRelease(a)
		case quota.SendHandover:
			c.sendHandover(a)
		case quota.SendProbe:
			c.sendProbe(a)
		case quota.Audit:
			c.auditQuota(a)
		}
	}
}

// FetchTokens makes the control goroutine request tokens from other VMs for
// requests that lack them. Concurrent calls are merged into one fetch, and these
// fetches run at most once per quota.FetchRetryInterval. The quota manager fetches
// again after each response of a lender, outside this limit. FetchTokens is safe
// for concurrent use.
func (c *Control) FetchTokens() {
	if c.fetchPosted.Swap(true) {
		return
	}
	posted := c.loop.TryPost(func(now time.Time) {
		c.fetchPosted.Store(false)
		if now.Sub(c.fetchedAt) < quota.FetchRetryInterval {
			return
		}
		c.fetchedAt = now
		c.runQuotaActions(c.deps.Quota.Fetch(now))
	})
	if !posted {
		c.fetchPosted.Store(false)
	}
}

// sendLend sends a share request to a lender. If the queue of peer calls is full,
// the request is not sent, and the lender counts as unreachable, as after a failed
// call.
func (c *Control) sendLend(a quota.SendLend) {
	req := lendToWire(c.sender(), a.Request)
	queued := c.callPeer(func() {
		resp, err := c.deps.PeerClient.Lend(a.To.PeerAddress, req)
		c.loop.Post(func(now time.Time) {
			if err != nil {
				c.deps.Quota.OnLendFailed(now, a.To.ID, a.Request.ID)
				return
			}
			c.runQuotaActions(c.deps.Quota.OnLendResponse(now, a.To.ID, lendResponseFromWire(resp)))
		})
	})
	if !queued {
		c.deps.Quota.OnLendFailed(time.Now(), a.To.ID, a.Request.ID)
	}
}

// sendRelease returns borrowed shares to their lender. A failed or dropped call
// isn't repeated.
func (c *Control) sendRelease(a quota.SendRelease) {
	req := &peerv1.ReleaseRequest{Sender: c.sender(), Id: a.Release.ID, Returned: grantsToWire(a.Release.Returned)}
	c.callPeer(func() {
		if err := c.deps.PeerClient.Release(a.To.PeerAddress, req); err != nil {
			c.deps.Log.Debug().Err(err).Str("peer", a.To.ID).Msg("release not delivered")
		}
	})
}

// sendHandover hands slots over to their successor. A failed or dropped call isn't
// repeated.
func (c *Control) sendHandover(a quota.SendHandover) {
	req := handoverToWire(c.sender(), a.Handover)
	c.callPeer(func() {
		if err := c.deps.PeerClient.Handover(a.To.PeerAddress, req); err != nil {
			c.deps.Log.Debug().Err(err).Str("peer", a.To.ID).Msg("handover not delivered")
		}
	})
}

// sendProbe exchanges lease digests with a peer. A failed or dropped call counts as
// a probe without an answer.
func (c *Control) sendProbe(a quota.SendProbe) {
	req := &peerv1.ProbeRequest{Sender: c.sender(), Claim: claimToWire(c.deps.Quota.Digest())}
	c.callPeer(func() {
		resp, err := c.deps.PeerClient.Probe(a.To.PeerAddress, req)
		if err != nil {
			return
		}
		c.loop.Post(func(now time.Time) {
			c.runQuotaActions(c.deps.Quota.OnDigest(now, a.SentAt, claimFromWire(resp.GetSender(), resp.GetClaim())))
		})
	})
}

func (c *Control) auditQuota(a quota.Audit) {
	subject := a.Customer
	if subject == "" {
		subject = c.deps.Self.VM.ID
	}
	entry := audit.Entry{Time: a.At, Kind: string(a.Event), Subject: subject, Cause: shareChangeText(a)}
	if a.Customer != "" && a.Peer != "" { // a loan has changed
		c.deps.Trail.AddFrequent(entry)
		return
	}
	c.deps.Trail.Add(entry)
}

// shareChangeText returns what has changed, which the audit trail shows as the
// cause: the share that was lent to or borrowed from another VM, where the entry's
// kind says which, this VM's slot, or the share itself.
func shareChangeText(a quota.Audit) string {
	switch {
	case a.Peer != "":
		return fmt.Sprintf("with %s: %s", a.Peer, shareText(a.Share))
	case a.Slot >= 0:
		return fmt.Sprintf("slot %d of the zone", a.Slot)
	}
	return shareText(a.Share)
}

func shareText(s lease.Share) string {
	const micro = 1e6
	return fmt.Sprintf("rate %.3f requests/s, capacity %.3f requests", float64(s.Rate)/micro, float64(s.Capacity)/micro)
}
