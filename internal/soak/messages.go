package soak

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
)

// sendRequest delivers a request to the VM at the address. handle runs on that VM
// and returns the function that processes the response on v. onFailure runs on v if
// the other VM is down or behind a network partition when the request is sent.
// Messages may be lost, delayed or duplicated; neither function runs on v if one is
// lost.
func (v *vm) sendRequest(address string, handle func(to *vm, now time.Time) func(now time.Time), onFailure func(now time.Time)) {
	w := v.world
	to := w.byAddress[address]
	if to == nil || !to.up || w.partitioned(v.self.Zone, to.self.Zone) {
		w.clock.After(w.latency(), func() { v.runControl(onFailure) })
		return
	}
	w.deliver(func() {
		to.runControl(func(now time.Time) {
			onResponse := handle(to, now)
			if w.partitioned(v.self.Zone, to.self.Zone) {
				return
			}
			w.deliver(func() { v.runControl(onResponse) })
		})
	})
}

// readPlatform reads from the platform. The platform responds once newer reports a
// change or after wait.
func (v *vm) readPlatform(wait time.Duration, newer func() bool, onResponse func(now time.Time, changed bool), onFailure func(now time.Time)) {
	w := v.world
	w.clock.After(w.latency(), func() {
		if w.platform.down || w.partitioned(v.self.Zone, platformZone) {
			v.runControl(onFailure)
			return
		}
		w.platform.watch(wait, newer, func(changed bool) {
			w.clock.After(w.latency(), func() { v.runControl(func(now time.Time) { onResponse(now, changed) }) })
		})
	})
}

func (v *vm) runDisseminatorActions(actions []dissemination.Action) {
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
			v.applyControlChange(a)
		}
	}
}

func (v *vm) applyControlChange(a dissemination.Action) {
	now := v.world.clock.Now()
	switch a := a.(type) {
	case dissemination.AdoptCatalog:
		v.world.check.checkVersion(v, a.Decision.Version)
		v.runQuotaActions(v.quota.OnCatalog(now, a.Decision.Catalog))
		v.updateRouter(now)
	case dissemination.AdoptList:
		v.runQuotaActions(v.quota.OnList(now, a.List, a.ConfirmedAt))
		v.updateRouter(now)
	case dissemination.ConfirmList:
		v.runQuotaActions(v.quota.OnList(now, a.List, a.At))
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
	v.readPlatform(a.Wait, func() bool { return p.folder().version > a.Since }, func(now time.Time, changed bool) {
		if !changed {
			v.runDisseminatorActions(v.disseminator.OnFolderUnchanged(now, a.Seq))
			return
		}
		f := p.folder()
		v.runDisseminatorActions(v.disseminator.OnFolder(now, a.Seq, f.version, f.index()))
	}, func(now time.Time) { v.runDisseminatorActions(v.disseminator.OnWatchError(now, a.Seq)) })
}

func (v *vm) watchList(a dissemination.WatchList) {
	p := v.world.platform
	v.readPlatform(a.Wait, func() bool { return p.list().Revision > a.Since }, func(now time.Time, changed bool) {
		if !changed {
			v.runDisseminatorActions(v.disseminator.OnListUnchanged(now, a.Seq))
			return
		}
		v.runDisseminatorActions(v.disseminator.OnList(now, a.Seq, p.list()))
	}, func(now time.Time) { v.runDisseminatorActions(v.disseminator.OnWatchError(now, a.Seq)) })
}

func (v *vm) fetchFile(a dissemination.FetchFile) {
	p := v.world.platform
	v.readPlatform(0, func() bool { return true }, func(now time.Time, _ bool) {
		f, ok := p.folder().files[a.Name]
		if !ok {
			v.runDisseminatorActions(v.disseminator.OnFetchError(now, a.Name, true))
			return
		}
		v.runDisseminatorActions(v.disseminator.OnFetchedFile(now, f))
	}, func(now time.Time) { v.runDisseminatorActions(v.disseminator.OnFetchError(now, a.Name, false)) })
}

func (v *vm) exchange(a dissemination.Exchange) {
	v.sendRequest(a.Peer.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
		to.runDisseminatorActions(to.disseminator.OnPeerDigest(now, v.self.ID, a.Digest))
		answer := to.disseminator.Digest(now)
		var list *membership.List
		if answer.ListRevision > a.Digest.ListRevision {
			list = to.disseminator.List()
		}
		return func(now time.Time) {
			v.runDisseminatorActions(v.disseminator.OnPeerAnswer(now, a.Seq, a.Peer.ID, answer, list))
		}
	}, func(now time.Time) { v.runDisseminatorActions(v.disseminator.OnExchangeError(now, a.Seq, a.Peer.ID)) })
}

func (v *vm) pullFiles(a dissemination.PullFiles) {
	v.sendRequest(a.Peer.PeerAddress, func(to *vm, _ time.Time) func(time.Time) {
		set := to.disseminator.Files()
		files := set.MissingFrom(a.Have)
		return func(now time.Time) {
			v.runDisseminatorActions(v.disseminator.OnPulledFiles(now, a.Peer.ID, set.Version, set.Index, files))
		}
	}, func(now time.Time) { v.runDisseminatorActions(v.disseminator.OnPullError(now, a.Peer.ID)) })
}

func (v *vm) runQuotaActions(actions []quota.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quota.SendLend:
			v.sendRequest(a.To.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
				resp, more := to.quota.OnLend(now, a.Request)
				to.runQuotaActions(more)
				return func(now time.Time) { v.runQuotaActions(v.quota.OnLendResponse(now, a.To.ID, resp)) }
			}, func(now time.Time) { v.quota.OnLendFailed(now, a.To.ID, a.Request.ID) })
		case quota.SendRelease:
			v.notify(a.To.PeerAddress, func(to *vm, now time.Time) { to.runQuotaActions(to.quota.OnRelease(now, a.Release)) })
		case quota.SendHandover:
			v.notify(a.To.PeerAddress, func(to *vm, now time.Time) { to.runQuotaActions(to.quota.OnHandover(now, a.Handover)) })
		case quota.SendProbe:
			claim := v.quota.Digest()
			v.sendRequest(a.To.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
				answer, more := to.quota.OnProbe(now, claim)
				to.runQuotaActions(more)
				return func(now time.Time) { v.runQuotaActions(v.quota.OnDigest(now, a.SentAt, answer)) }
			}, func(time.Time) {})
		}
	}
}

// notify sends a message without a response.
func (v *vm) notify(address string, handle func(to *vm, now time.Time)) {
	v.sendRequest(address, func(to *vm, now time.Time) func(time.Time) {
		handle(to, now)
		return func(time.Time) {}
	}, func(time.Time) {})
}

func (v *vm) runRouterActions(actions []routing.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case routing.ColdNotice:
			v.notifyAll(func(to *vm, now time.Time) { to.router.OnColdNotice(now, a) })
		case routing.RampNotice:
			v.notifyAll(func(to *vm, now time.Time) { to.router.OnRampNotice(now, a) })
		case routing.RampQuery:
			to := v.world.byID(a.To)
			if to == nil {
				continue
			}
			v.sendRequest(to.self.PeerAddress, func(to *vm, now time.Time) func(time.Time) {
				answers := to.router.OnRampQuery(now, a.Questions)
				return func(now time.Time) { v.router.OnRampAnswers(now, a.CreatedAt, answers) }
			}, func(time.Time) {})
		}
	}
}

func (v *vm) notifyAll(handle func(to *vm, now time.Time)) {
	list := v.disseminator.List()
	if list == nil {
		return
	}
	for _, other := range membership.Without(list.VMs, v.self.ID) {
		v.notify(other.PeerAddress, handle)
	}
}
