package control

import (
	"errors"
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/configservice"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/membership"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

// runDisseminationActions executes the actions of the disseminator. Platform reads
// and peer calls run on worker pools and post their results to the loop.
func (c *Control) runDisseminationActions(actions []dissemination.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dissemination.WatchConfig:
			c.watchConfig(a)
		case dissemination.WatchList:
			c.watchList(a)
		case dissemination.FetchFile:
			c.fetchFile(a)
		case dissemination.Exchange:
			c.exchange(a)
		case dissemination.PullFiles:
			c.pullFiles(a)
		default:
			c.applyStateChange(time.Now(), a)
		}
	}
}

// applyStateChange applies a change of the active catalog, the VM list or the
// serving state.
func (c *Control) applyStateChange(now time.Time, a dissemination.Action) {
	switch a := a.(type) {
	case dissemination.AdoptCatalog:
		set := c.deps.Disseminator.Files()
		c.fileSetHistory.add(set.Digest, set)
		c.auditDecision(now, a.Decision)
		c.runQuotaActions(c.deps.Quota.OnCatalog(now, a.Decision.Catalog))
		c.publish(now)
	case dissemination.IgnoreOffer:
		c.auditDecision(now, a.Decision)
	case dissemination.AdoptList:
		c.listHistory.add(a.List.Revision, a.List)
		c.auditList(now, a.List)
		c.runQuotaActions(c.deps.Quota.OnList(now, a.List, a.ConfirmedAt))
		c.publish(now)
	case dissemination.ConfirmList:
		c.runQuotaActions(c.deps.Quota.OnList(now, a.List, a.At))
	case dissemination.Ready:
		c.serving = true
		c.State.confirm(now)
		c.auditSelf(now, "ready", fmt.Sprintf("confirmed by peers or platform: %t", a.Confirmed))
	case dissemination.NotReady:
		c.serving = false
		c.State.markStale()
		c.auditSelf(now, "not_ready", "paused for "+a.Gap.String())
	}
}

// readPlatform runs f on the pool of platform reads. The function that f returns
// runs on the loop.
func (c *Control) readPlatform(f func() func(now time.Time) []dissemination.Action) {
	c.platformReads.Go(func() {
		report := f()
		c.loop.Post(func(now time.Time) { c.runDisseminationActions(report(now)) })
	})
}

// watchRevision returns the revision to watch from. Zero becomes -1, which makes
// the platform respond at once with the current state.
func watchRevision(revision uint64) int64 {
	if revision == 0 {
		return -1
	}
	return int64(revision)
}

func (c *Control) watchConfig(a dissemination.WatchConfig) {
	c.readPlatform(func() func(time.Time) []dissemination.Action {
		index, err := c.deps.ConfigService.Index(watchRevision(a.Since), a.Wait)
		s := c.deps.Disseminator
		switch {
		case errors.Is(err, configservice.ErrNotModified):
			return func(now time.Time) []dissemination.Action { return s.OnFolderUnchanged(now, a.Seq) }
		case err != nil:
			return func(now time.Time) []dissemination.Action { return s.OnWatchError(now, a.Seq) }
		}
		all := make([]catalog.FileRevision, 0, len(index.Files))
		for _, f := range index.Files {
			all = append(all, catalog.FileRevision{Name: f.Name, Revision: f.Revision})
		}
		return func(now time.Time) []dissemination.Action { return s.OnFolder(now, a.Seq, index.Revision, all) }
	})
}

func (c *Control) watchList(a dissemination.WatchList) {
	c.readPlatform(func() func(time.Time) []dissemination.Action {
		list, err := c.deps.ConfigService.VMs(watchRevision(a.Since), a.Wait)
		s := c.deps.Disseminator
		switch {
		case errors.Is(err, configservice.ErrNotModified):
			return func(now time.Time) []dissemination.Action { return s.OnListUnchanged(now, a.Seq) }
		case err != nil:
			return func(now time.Time) []dissemination.Action { return s.OnWatchError(now, a.Seq) }
		}
		return func(now time.Time) []dissemination.Action { return s.OnList(now, a.Seq, &list) }
	})
}

func (c *Control) fetchFile(a dissemination.FetchFile) {
	c.readPlatform(func() func(time.Time) []dissemination.Action {
		file, err := c.deps.ConfigService.File(a.Name)
		s := c.deps.Disseminator
		if err != nil {
			deleted := errors.Is(err, configservice.ErrDeleted)
			return func(now time.Time) []dissemination.Action { return s.OnFetchError(now, a.Name, deleted) }
		}
		return func(now time.Time) []dissemination.Action { return s.OnFetchedFile(now, file) }
	})
}

// exchange sends this daemon's digest to a peer and receives the peer's. If the
// peer's VM list is newer, the response holds it in full or as the change from this
// daemon's list.
func (c *Control) exchange(a dissemination.Exchange) {
	base := c.deps.Disseminator.List()
	req := &peerv1.ExchangeRequest{Sender: c.sender(), Digest: digestToWire(a.Digest)}
	c.callPeer(func() {
		resp, err := c.deps.PeerClient.Exchange(a.Peer.PeerAddress, req)
		c.loop.Post(func(now time.Time) {
			s := c.deps.Disseminator
			if err != nil {
				c.runDisseminationActions(s.OnExchangeError(now, a.Seq, a.Peer.ID))
				return
			}
			digest := digestFromWire(resp.GetDigest())
			c.runDisseminationActions(s.OnPeerAnswer(now, a.Seq, a.Peer.ID, digest, listFromResponse(resp, base)))
		})
	})
}

// pullFiles fetches the configuration files that this daemon lacks from a peer.
// The request identifies this daemon's files by their digest. If the peer doesn't
// know that digest, a second request lists the names and revisions.
func (c *Control) pullFiles(a dissemination.PullFiles) {
	base := c.deps.Disseminator.Files()
	c.callPeer(func() {
		req := &peerv1.FetchFilesRequest{Sender: c.sender(), Digest: base.Digest}
		resp, err := c.deps.PeerClient.FetchFiles(a.Peer.PeerAddress, req)
		if err == nil && resp.GetUnknownDigest() {
			req = &peerv1.FetchFilesRequest{Sender: c.sender(), Have: revisionsToWire(a.Have)}
			resp, err = c.deps.PeerClient.FetchFiles(a.Peer.PeerAddress, req)
		}
		c.loop.Post(func(now time.Time) {
			s := c.deps.Disseminator
			if err != nil {
				c.runDisseminationActions(s.OnPullError(now, a.Peer.ID))
				return
			}
			all, files := indexFromResponse(resp, base), filesFromWire(resp.GetFiles())
			c.runDisseminationActions(s.OnPulledFiles(now, a.Peer.ID, resp.GetConfigVersion(), all, files))
		})
	})
}

func (c *Control) auditSelf(now time.Time, kind, cause string) {
	c.deps.Trail.Add(audit.Entry{Time: now, Kind: kind, Subject: c.deps.Self.VM.ID, Cause: cause})
}

func (c *Control) auditList(now time.Time, list *membership.List) {
	c.deps.Trail.Add(audit.Entry{
		Time: now, Kind: "vm_list", Subject: c.deps.Self.Fleet, Version: list.Revision,
		Cause: fmt.Sprintf("a newer list of %d VMs", len(list.VMs)),
	})
}

// auditDecision records the outcome of an offer, the changes in its details, and
// one entry for each newly rejected file.
func (c *Control) auditDecision(now time.Time, d catalog.Decision) {
	e := audit.Entry{
		Time: now, Kind: "config_" + d.Outcome.String(), Subject: "folder", Version: d.Version,
		Cause: "offered by " + d.Source.String(), Publisher: c.publishers(d.Files),
	}
	for _, ch := range d.Changes {
		e.Details = append(e.Details, ch.String())
	}
	c.deps.Trail.Add(e)
	for _, p := range d.NewProblems {
		c.deps.Trail.Add(audit.Entry{
			Time: now, Kind: "config_rejected", Subject: p.File, Version: d.Version, Cause: p.Error(),
			Publisher: c.publisher(p.File),
		})
	}
}

// publishers returns the publishers of the changed files, as far as known.
func (c *Control) publishers(changes []catalog.FileChange) string {
	var out string
	for _, ch := range changes {
		if p := c.publisher(ch.Name); p != "" && out != p {
			out = joinNames(out, p)
		}
	}
	return out
}

func (c *Control) publisher(file string) string {
	for _, f := range c.deps.Disseminator.Files().Files {
		if f.Name == file {
			return f.Publisher
		}
	}
	return ""
}

func joinNames(a, b string) string {
	if a == "" {
		return b
	}
	return a + ", " + b
}
