package soak

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
)

// ask carries a question to the VM at the address and its answer back. Serve
// runs on the other VM and returns what takes the answer in at v; lost runs at
// v when no answer can come. Messages may be lost, late or repeated.
func (v *vm) ask(address string, serve func(to *vm, now time.Time) func(now time.Time), lost func(now time.Time)) {
	w := v.world
	to := w.byAddress[address]
	if to == nil || !to.up || w.isCut(v.self.Zone, to.self.Zone) {
		w.clock.After(w.latency(), func() { v.control(lost) })
		return
	}
	w.deliver(func() {
		to.control(func(now time.Time) {
			back := serve(to, now)
			if w.isCut(v.self.Zone, to.self.Zone) {
				return
			}
			w.deliver(func() { v.control(back) })
		})
	})
}

// read carries a read to the platform and its answer back.
func (v *vm) read(wait time.Duration, newer func() bool, answer func(now time.Time, news bool), failed func(now time.Time)) {
	w := v.world
	w.clock.After(w.latency(), func() {
		if w.platform.down || w.isCut(v.self.Zone, platformZone) {
			v.control(failed)
			return
		}
		w.platform.watch(wait, newer, func(news bool) {
			w.clock.After(w.latency(), func() { v.control(func(now time.Time) { answer(now, news) }) })
		})
	})
}

func (v *vm) spreadActions(actions []dissemination.Action) {
	if h := v.world.hooks.offline; h != nil && h(v) {
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case dissemination.WatchConfig:
			v.watchConfig(a)
		case dissemination.WatchList:
			v.watchList(a)
		case dissemination.FetchFile:
			v.fetchFile(a)
		case dissemination.Exchange:
			v.exchange(a)
		case dissemination.PullFiles:
			v.pullFiles(a)
		default:
			v.spreadChange(a)
		}
	}
}

func (v *vm) spreadChange(a dissemination.Action) {
	now := v.world.clock.Now()
	switch a := a.(type) {
	case dissemination.AdoptCatalog:
		v.world.check.accepted(v, a.Decision.Version)
		v.quotaActions(v.quota.OnCatalog(now, a.Decision.Catalog))
		v.publish(now)
	case dissemination.AdoptList:
		v.quotaActions(v.quota.OnList(now, a.List, a.ConfirmedAt))
		v.publish(now)
	case dissemination.ConfirmList:
		v.quotaActions(v.quota.OnList(now, a.List, a.At))
	case dissemination.Ready:
		v.serving = true
		v.confirmedAt = now
	case dissemination.NotReady:
		v.serving = false
		v.confirmedAt = time.Time{}
	}
}

func (v *vm) watchConfig(a dissemination.WatchConfig) {
	p := v.world.platform
	v.read(a.Wait, func() bool { return p.folder().version > a.Since }, func(now time.Time, news bool) {
		if !news {
			v.spreadActions(v.spread.OnFolderUnchanged(now, a.Seq))
			return
		}
		f := p.folder()
		v.spreadActions(v.spread.OnFolder(now, a.Seq, f.version, f.all()))
	}, func(now time.Time) { v.spreadActions(v.spread.OnWatchError(now, a.Seq)) })
}

func (v *vm) watchList(a dissemination.WatchList) {
	p := v.world.platform
	v.read(a.Wait, func() bool { return p.list().Revision > a.Since }, func(now time.Time, news bool) {
		if !news {
			v.spreadActions(v.spread.OnListUnchanged(now, a.Seq))
			return
		}
		v.spreadActions(v.spread.OnList(now, a.Seq, p.list()))
	}, func(now time.Time) { v.spreadActions(v.spread.OnWatchError(now, a.Seq)) })
}

func (v *vm) fetchFile(a dissemination.FetchFile) {
	p := v.world.platform
	v.read(0, func() bool { return true }, func(now time.Time, _ bool) {
		f, ok := p.folder().files[a.Name]
		if !ok {
			v.spreadActions(v.spread.OnFetchError(now, a.Name, true))
			return
		}
		v.spreadActions(v.spread.OnFetchedFile(now, f))
	}, func(now time.Time) { v.spreadActions(v.spread.OnFetchError(now, a.Name, false)) })
}

func (v *vm) exchange(a dissemination.Exchange) {
	v.ask(a.Peer.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
		to.spreadActions(to.spread.OnPeerDigest(now, v.self.ID, a.Digest))
		answer := to.spread.Digest(now)
		var list *membership.List
		if answer.ListRevision > a.Digest.ListRevision {
			list = to.spread.List()
		}
		return func(now time.Time) {
			v.spreadActions(v.spread.OnPeerAnswer(now, a.Seq, a.Peer.ID, answer, list))
		}
	}, func(now time.Time) { v.spreadActions(v.spread.OnExchangeError(now, a.Seq, a.Peer.ID)) })
}

func (v *vm) pullFiles(a dissemination.PullFiles) {
	v.ask(a.Peer.PeerAddress, func(to *vm, _ time.Time) func(time.Time) {
		set := to.spread.Files()
		files := set.MissingFrom(a.Have)
		return func(now time.Time) {
			v.spreadActions(v.spread.OnPulledFiles(now, a.Peer.ID, set.Version, set.Index, files))
		}
	}, func(now time.Time) { v.spreadActions(v.spread.OnPullError(now, a.Peer.ID)) })
}

func (v *vm) quotaActions(actions []quota.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quota.SendLend:
			v.ask(a.To.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
				resp, more := to.quota.OnLend(now, a.Request)
				to.quotaActions(more)
				return func(now time.Time) { v.quotaActions(v.quota.OnLendResponse(now, a.To.ID, resp)) }
			}, func(now time.Time) { v.quota.OnLendFailed(now, a.To.ID, a.Request.ID) })
		case quota.SendRelease:
			v.tell(a.To.PeerAddress, func(to *vm, now time.Time) { to.quotaActions(to.quota.OnRelease(now, a.Release)) })
		case quota.SendHandover:
			v.tell(a.To.PeerAddress, func(to *vm, now time.Time) { to.quotaActions(to.quota.OnHandover(now, a.Handover)) })
		case quota.SendProbe:
			claim := v.quota.Digest()
			v.ask(a.To.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
				answer, more := to.quota.OnProbe(now, claim)
				to.quotaActions(more)
				return func(now time.Time) { v.quotaActions(v.quota.OnDigest(now, a.SentAt, answer)) }
			}, func(time.Time) {})
		}
	}
}

// tell carries a message that needs no answer.
func (v *vm) tell(address string, serve func(to *vm, now time.Time)) {
	v.ask(address, func(to *vm, now time.Time) func(time.Time) {
		serve(to, now)
		return func(time.Time) {}
	}, func(time.Time) {})
}

func (v *vm) routerActions(actions []routing.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case routing.ColdNotice:
			v.tellAll(func(to *vm, now time.Time) { to.router.OnColdNotice(now, a) })
		case routing.RampNotice:
			v.tellAll(func(to *vm, now time.Time) { to.router.OnRampNotice(now, a) })
		case routing.RampQuery:
			to := v.world.byID(a.To)
			if to == nil {
				continue
			}
			v.ask(to.self.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
				answers := to.router.OnRampQuery(now, a.Questions)
				return func(now time.Time) { v.router.OnRampAnswers(now, a.CreatedAt, answers) }
			}, func(time.Time) {})
		}
	}
}

func (v *vm) tellAll(serve func(to *vm, now time.Time)) {
	list := v.spread.List()
	if list == nil {
		return
	}
	for _, other := range membership.Without(list.VMs, v.self.ID) {
		v.tell(other.PeerAddress, serve)
	}
}
