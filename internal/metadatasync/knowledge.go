// Package knowledge follows the metadata store and publishes what the VM knows
// from it, with its age.
package metadatasync

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/eventlog"
)

// Source reads the store.
type Source interface {
	// Changes returns what was written after the revision, ErrHistoryGone of the
	// source if it no longer knows, and waits up to wait for a first change.
	Changes(ctx context.Context, after int64, wait time.Duration) (metadata.Batch, error)
	// ReadAll returns all items.
	ReadAll(ctx context.Context) (metadata.Batch, error)
}

// Peers gives access to other VMs that know the source.
type Peers interface {
	// Readers returns the VMs to ask in place of the source, in order; none if this
	// VM is to read the source itself.
	Readers() []string
	// FallbackPeer returns a VM to ask after the source has failed, another one with each
	// call; "" if there is none.
	FallbackPeer() string
	// Follow returns what the VM has learned since the revision. The batch has an
	// age.
	Follow(ctx context.Context, reader string, after int64) (metadata.Batch, error)
}

// Policy paces the reads.
type Policy struct {
	// Interval is the time between two reads.
	Interval time.Duration
	// RetryInterval is the time between two reads while the source fails. VMs for
	// which others read keep to Interval, as they are many.
	RetryInterval time.Duration
	// ChangesTimeout bounds one read of changes, FullTimeout one of everything.
	ChangesTimeout, FullTimeout time.Duration
	// PeerTimeout bounds one call to another VM, and MaxPeerAge is the age from which
	// its answer is too old to rely on.
	PeerTimeout, MaxPeerAge time.Duration
	// OutageThreshold and HoldPeriod are those of feed.State.
	OutageThreshold, HoldPeriod time.Duration
}

// DefaultPolicy returns the pace for bounds of 3 s and more on what must be in
// force everywhere: one read a second leaves room for one that fails.
func DefaultPolicy() Policy {
	return Policy{
		Interval: time.Second, RetryInterval: 250 * time.Millisecond,
		ChangesTimeout: time.Second, FullTimeout: 3 * time.Second,
		PeerTimeout: 300 * time.Millisecond, MaxPeerAge: 2 * time.Second,
		OutageThreshold: 2500 * time.Millisecond, HoldPeriod: 2200 * time.Millisecond,
	}
}

// longPollWait is how long a read waits for a first change. Upstreams announce
// themselves all the time, so that it seldom waits at all.
const longPollWait = 100 * time.Millisecond

// Follower follows one source, or other VMs that do. Only Run changes it.
type Follower struct {
	source         Source
	peers          Peers
	policy         Policy
	log            *eventlog.Log
	errHistoryGone error
	publish        func(*metadata.View)
	now            func() time.Duration

	mu        sync.Mutex // guards state
	state     *metadata.State
	view      atomic.Pointer[metadata.View]
	provenAt  atomic.Int64 // boot time in ns of the last read that proves the view
	storeLost bool
	failures  int
}

// NewFollower returns a follower. historyGone is the source's error for changes
// that it no longer knows; publish is called with each new view.
func NewFollower(s Source, peers Peers, p Policy, historyGone error, log *eventlog.Log, publish func(*metadata.View)) *Follower {
	return &Follower{
		source: s, peers: peers, policy: p, log: log, errHistoryGone: historyGone, publish: publish, now: boottime.Now,
		state: metadata.NewState(p.OutageThreshold, p.HoldPeriod),
	}
}

// View returns the latest view, or nil as long as there is no configuration.
func (f *Follower) View() *metadata.View { return f.view.Load() }

// unknownAge is the age of a view that no read has proved.
const unknownAge = time.Duration(1 << 62)

// Age returns the time since the start of the latest read that succeeded.
func (f *Follower) Age() time.Duration {
	at := f.provenAt.Load()
	if at == 0 {
		return unknownAge
	}
	return f.now() - time.Duration(at)
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		pause := f.policy.Interval
		if err := f.read(ctx); err != nil && len(f.peers.Readers()) == 0 {
			pause = f.policy.RetryInterval
		}
		sleep(ctx, pause-time.Since(began))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// read makes one read of the source, or of a VM that knows more if the source
// fails, and applies it.
func (f *Follower) read(ctx context.Context) error {
	requestedAt := f.now()
	batch, err := f.fetch(ctx)
	if err == nil {
		f.recordSuccess()
		f.apply(requestedAt, batch)
		return nil
	}
	f.recordFailure(err)
	fallback := f.peers.FallbackPeer()
	if fallback == "" {
		return err
	}
	requestedAt = f.now()
	batch, ok := f.fetchFromPeer(ctx, fallback, f.Age())
	if !ok {
		return err
	}
	batch.FromFallbackPeer = true
	f.apply(requestedAt, batch)
	return nil
}

func (f *Follower) apply(requestedAt time.Duration, batch metadata.Batch) {
	now := f.now()
	f.mu.Lock()
	events := f.state.Apply(now, batch)
	f.mu.Unlock()
	f.provenAt.Store(max(f.provenAt.Load(), int64(requestedAt-batch.Age)))
	for _, e := range events {
		f.logEvent(e, batch.Revision)
	}
	if len(events) > 0 || f.view.Load() == nil {
		if v := f.state.View(); v != nil {
			f.view.Store(v)
			f.publish(v)
		}
	}
}

func (f *Follower) fetch(ctx context.Context) (metadata.Batch, error) {
	for _, reader := range f.peers.Readers() {
		if b, ok := f.fetchFromPeer(ctx, reader, f.policy.MaxPeerAge); ok {
			return b, nil
		}
	}
	if rev := f.state.Revision(); rev > 0 {
		call, cancel := context.WithTimeout(ctx, f.policy.ChangesTimeout)
		defer cancel()
		b, err := f.source.Changes(call, rev, longPollWait)
		if !errors.Is(err, f.errHistoryGone) {
			return b, err
		}
	}
	call, cancel := context.WithTimeout(ctx, f.policy.FullTimeout)
	defer cancel()
	return f.source.ReadAll(call)
}

// fetchFromPeer asks another VM. It returns false if that doesn't answer, or what it
// knows isn't younger than an age.
func (f *Follower) fetchFromPeer(ctx context.Context, peer string, maxAge time.Duration) (metadata.Batch, bool) {
	call, cancel := context.WithTimeout(ctx, f.policy.PeerTimeout)
	defer cancel()
	b, err := f.peers.Follow(call, peer, f.state.Revision())
	switch {
	case err != nil:
		f.log.Event("reader_failed").Str("reader", peer).Str("error", err.Error()).Send()
		return metadata.Batch{}, false
	case b.Age >= maxAge:
		f.log.Event("reader_behind").Str("reader", peer).Dur("age_ms", b.Age).Send()
		return metadata.Batch{}, false
	}
	return b, true
}

// ChangesSince implements fleetlink.Knowledge.
func (f *Follower) ChangesSince(after int64) (metadata.Batch, bool) {
	if f.view.Load() == nil {
		return metadata.Batch{}, false
	}
	f.mu.Lock()
	b := f.state.ChangesSince(f.now(), after)
	f.mu.Unlock()
	b.Age = f.Age()
	return b, true
}

func (f *Follower) recordFailure(err error) {
	f.failures++
	if f.storeLost {
		return
	}
	f.storeLost = true
	f.log.Warning("store_lost").Str("error", err.Error()).Dur("knowledge_age_ms", f.Age()).Send()
}

func (f *Follower) recordSuccess() {
	if f.storeLost {
		f.log.Event("store_regained").Int("failed_reads", f.failures).Send()
	}
	f.storeLost, f.failures = false, 0
}

func (f *Follower) logEvent(e metadata.Event, revision int64) {
	l := f.log.Event("knowledge").Stringer("subject", e.Subject).
		Str("name", e.Name).Str("change", e.Kind).Int64("revision", revision)
	if e.Err != nil {
		l.Str("error", e.Err.Error())
	}
	l.Send()
}
