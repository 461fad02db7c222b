package quotasim

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
)

// act carries out a node's actions.
func (f *Fleet) act(n *Node, actions []quota.Action) {
	for _, a := range actions {
		if f.OnAction != nil {
			f.OnAction(n, a)
		}
		switch a := a.(type) {
		case quota.SendProbe:
			f.probe(n, a)
		case quota.SendLend:
			f.lend(n, a)
		case quota.SendRelease:
			f.send(n, a.To.ID, func(to *Node) { f.act(to, to.Daemon.OnRelease(f.Time(), a.Release)) })
		case quota.SendHandover:
			f.send(n, a.To.ID, func(to *Node) { f.act(to, to.Daemon.OnHandover(f.Time(), a.Handover)) })
		}
	}
}

// Leave makes a node release its slots.
func (f *Fleet) Leave(n *Node) {
	f.act(n, n.Daemon.Leave(f.Time()))
}

// Fetch makes a node fetch tokens.
func (f *Fleet) Fetch(n *Node) {
	f.act(n, n.Daemon.Fetch(f.Time()))
}

func (f *Fleet) probe(n *Node, p quota.SendProbe) {
	digest := n.Daemon.Digest()
	config := n.configVersion
	f.send(n, p.To.ID, func(to *Node) {
		answer, actions := to.Daemon.OnProbe(f.Time(), digest)
		f.act(to, actions)
		var newer *membership.List
		if list := to.Daemon.List(); list != nil && list.Revision > digest.Revision {
			newer = list
		}
		version := to.configVersion
		f.send(to, n.VM.ID, func(back *Node) {
			if back != n {
				return
			}
			if newer != nil {
				f.act(n, n.Daemon.OnList(f.Time(), newer, p.SentAt))
			}
			if version > config {
				f.configure(n, f.catalogs[version-1])
			}
			f.act(n, n.Daemon.OnDigest(f.Time(), p.SentAt, answer))
		})
	})
}

func (f *Fleet) lend(n *Node, a quota.SendLend) {
	answered := false
	f.send(n, a.To.ID, func(to *Node) {
		resp, actions := to.Daemon.OnLend(f.Time(), a.Request)
		f.act(to, actions)
		f.send(to, n.VM.ID, func(back *Node) {
			if back != n {
				return
			}
			answered = true
			f.act(n, n.Daemon.OnLendResponse(f.Time(), a.To.ID, resp))
		})
	})
	f.After(rpcTimeout, n, func() {
		if !answered {
			n.Daemon.OnLendFailed(f.Time(), a.To.ID, a.Request.ID)
		}
	})
}

// send delivers to the process that runs on the VM when the message arrives. A
// partition drops messages that are sent or in flight.
func (f *Fleet) send(from *Node, id string, deliver func(to *Node)) {
	f.Messages++
	if f.Rand.Float64() < f.Net.Loss {
		return
	}
	copies := 1
	if f.Rand.Float64() < f.Net.Duplicate {
		copies = 2
	}
	group := from.Partition
	for range copies {
		f.After(f.delay(), nil, func() {
			to := f.Node(id)
			if to == nil || to.Partition != group || to.Unreachable == from.VM.ID || from.Unreachable == id {
				return
			}
			// A frozen process handles the message when it resumes.
			f.After(0, to, func() { deliver(to) })
		})
	}
}

func (f *Fleet) delay() time.Duration {
	if f.Rand.Float64() < f.Net.ExtraDelay {
		return f.jitter(max(f.Net.MaxExtraDelay, 1))
	}
	return f.Net.MinDelay + f.jitter(max(f.Net.MaxDelay-f.Net.MinDelay, 1))
}
