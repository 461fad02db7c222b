package metadatasync

import (
	"context"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
)

const (
	// maxConfirmers is the number of VMs that are asked.
	maxConfirmers = 3
	// confirmAgeFactor is the age of another VM's metadata up to which it can confirm, as a
	// multiple of Policy.MaxPeerAge.
	confirmAgeFactor = 2
)

// confirm takes the configuration of another VM if it is newer than the one with which this VM
// starts. The source may have just come back from an older copy, which a VM that starts can't
// tell and others can: it would accept keys that have been withdrawn since the copy. VMs that
// are starting themselves can't confirm; if no other one is found the source is believed.
func (f *Follower) confirm(ctx context.Context) {
	if f.confirmed.Load() || f.view.Load() == nil {
		return
	}
	asked := map[string]bool{}
	for end := time.Now().Add(f.policy.ConfirmTimeout); time.Now().Before(end) && ctx.Err() == nil && len(asked) < maxConfirmers; {
		peer := f.peers.FallbackPeer()
		if peer == "" || asked[peer] {
			sleep(ctx, readersPollInterval)
			continue
		}
		asked[peer] = true
		if f.confirmBy(ctx, peer) {
			break
		}
	}
	if ctx.Err() == nil && !f.confirmed.Swap(true) {
		f.log.Event("start_unconfirmed").Int("peers", len(asked)).Send()
	}
}

// confirmBy asks one VM. It returns false if that one can't confirm.
func (f *Follower) confirmBy(ctx context.Context, peer string) bool {
	requestedAt := f.now()
	call, cancel := context.WithTimeout(ctx, f.policy.PeerTimeout)
	defer cancel()
	b, err := f.peers.Follow(call, peer, metadata.Position{})
	switch {
	case err != nil:
		f.log.Event("reader_failed").Str("reader", peer).Str("error", err.Error()).Send()
		return false
	case b.Unconfirmed:
		return false
	case b.Age >= confirmAgeFactor*f.policy.MaxPeerAge:
		f.log.Event("reader_behind").Str("reader", peer).Dur("age_ms", b.Age).Int64("era", b.Era).Send()
		return false
	}
	// Only the version counts: the other VM may not have noticed the source's era yet.
	kept := metadata.Batch{Era: f.state.Position().Era, Age: b.Age, FromFallbackPeer: true}
	for _, c := range b.Changes {
		if c.Subject == metadata.SubjectConfig && c.Config != nil && c.Config.Version > f.view.Load().Table.Config.Version {
			c.Revision = 0
			kept.Changes = append(kept.Changes, c)
		}
	}
	f.apply(requestedAt, kept)
	f.confirmed.Store(true)
	f.log.Event("start_confirmed").Str("peer", peer).Dur("age_ms", b.Age).Int64("era", b.Era).
		Bool("newer", len(kept.Changes) > 0).Int64("config_version", f.view.Load().Table.Config.Version).Send()
	return true
}
