// Package metadatasync keeps this VM's copy of the metadata store up to date,
// by reads of the store or of other VMs, and publishes it with its age.
// `ryecourse gateway` uses it.
//
// The source is the metadata store. A reader is another VM that is read from in
// place of the source; a fallback peer is read from after the source has failed.
// The age is the time since the copy was last known to be current.
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

// Source is the metadata store.
type Source interface {
	// Changes returns the changes after a revision, and waits up to wait if there
	// are none. If the source no longer has them, it returns the error that was
	// passed to NewFollower as historyGone.
	Changes(ctx context.Context, after int64, wait time.Duration) (metadata.Batch, error)
	// ReadAll returns all items.
	ReadAll(ctx context.Context) (metadata.Batch, error)
}

// Peers gives access to other VMs with a copy of the metadata.
type Peers interface {
	// Readers returns the VMs to read from instead of the source, in order of
	// preference. It is empty if this VM reads the source itself.
	Readers() []string
	// IsRelay reports whether other VMs read from this one.
	IsRelay() bool
	// FallbackPeer returns a VM to read from after the source has failed, another
	// one with each call, or "" if there is none.
	FallbackPeer() string
	// Follow returns the changes that the VM has received since the position. The
	// batch has an age.
	Follow(ctx context.Context, reader string, from metadata.Position) (metadata.Batch, error)
}

// Policy holds the intervals and timeouts of reads.
type Policy struct {
	// Interval is the time between two reads.
	Interval time.Duration
	// RelayInterval is Interval for a VM that reads from others and is read from. The
	// ages of both reads add up.
	RelayInterval time.Duration
	// FirstRead is how long a VM waits for Readers before its first read, and
	// FirstSourceRead how long one with Readers waits for their metadata before it
	// reads the source, since all VMs of a large fleet would read it at their start.
	FirstRead, FirstSourceRead time.Duration
	// ConfirmTimeout is how long a VM that starts looks for another VM that confirms its
	// configuration; 0 if there are no others, or if all start for the first time.
	ConfirmTimeout time.Duration
	// RetryInterval is the time between two reads while the source fails. A VM with
	// readers keeps Interval, as there are many such VMs.
	RetryInterval time.Duration
	// ChangesTimeout limits a read of changes, FullTimeout a full read.
	ChangesTimeout, FullTimeout time.Duration
	// PeerTimeout limits a call to another VM. A response with an age of
	// MaxPeerAge or more is ignored.
	PeerTimeout, MaxPeerAge time.Duration
	// OutageThreshold and HoldPeriod are those of metadata.State.
	OutageThreshold, HoldPeriod time.Duration
}

// DefaultPolicy suits bounds of 3 s or more on the time until a change is
// active on all VMs: with one read per second, one may fail.
func DefaultPolicy() Policy {
	return Policy{
		Interval: time.Second, RelayInterval: 500 * time.Millisecond, RetryInterval: 250 * time.Millisecond,
		ChangesTimeout: time.Second, FullTimeout: 3 * time.Second,
		PeerTimeout: 300 * time.Millisecond, MaxPeerAge: 2 * time.Second,
		OutageThreshold: 2500 * time.Millisecond, HoldPeriod: 2200 * time.Millisecond,
	}
}

// longPollWait is how long a read of changes waits if there are none. A read
// seldom waits, as upstreams announce themselves frequently.
const longPollWait = 100 * time.Millisecond

// Follower keeps a copy of the metadata from one source or from other VMs. Only
// Run modifies it.
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
	provenAt  atomic.Int64 // boot time in ns at which the view was last known to be current
	storeLost bool
	failures  int
	started   time.Time // of Run
	// confirmed is set once another VM has confirmed the configuration with which this one
	// starts, or none could.
	confirmed atomic.Bool
	refresh   chan struct{} // requests an early read
}

// NewFollower returns a follower. historyGone is the source's error for changes
// that it no longer has; publish is called with each new view.
func NewFollower(s Source, peers Peers, p Policy, historyGone error, log *eventlog.Log, publish func(*metadata.View)) *Follower {
	f := &Follower{
		source: s, peers: peers, policy: p, log: log, errHistoryGone: historyGone, publish: publish, now: boottime.Now,
		state:   metadata.NewState(p.OutageThreshold, p.HoldPeriod),
		refresh: make(chan struct{}, 1),
	}
	f.confirmed.Store(p.ConfirmTimeout == 0)
	return f
}

// View returns the latest view, or nil while there is no configuration.
func (f *Follower) View() *metadata.View { return f.view.Load() }

// unknownAge is the age before the first successful read.
const unknownAge = time.Duration(1 << 62)

// Age returns the metadata age: the time since the view was last known to be
// current. The age of keys that haven't been confirmed is unknown.
func (f *Follower) Age() time.Duration {
	if v := f.view.Load(); !f.confirmed.Load() && v != nil && len(v.Table.Config.Customers) > 0 {
		return unknownAge
	}
	return f.proofAge()
}

// proofAge returns the time since the source, or another VM, responded.
func (f *Follower) proofAge() time.Duration {
	at := f.provenAt.Load()
	if at == 0 {
		return unknownAge
	}
	return f.now() - time.Duration(at)
}

// Run reads the metadata repeatedly until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.started = time.Now()
	f.waitForReaders(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		err := f.read(ctx)
		f.confirm(ctx)
		next := began.Add(f.pause(err))
		for f.awaitRefresh(ctx, began, next) {
			began = time.Now()
			_ = f.read(ctx) // it has logged its error; the regular read follows
		}
	}
}

// minReadInterval is the least time between the begins of two reads.
const minReadInterval = 100 * time.Millisecond

// Refresh requests a read before the next regular one. It doesn't wait for it, and may be called
// concurrently.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default: // one is requested already
	}
}

// awaitRefresh waits until the next regular read is due. It returns true if a Refresh comes
// first, at least minReadInterval after the last read began.
func (f *Follower) awaitRefresh(ctx context.Context, began, next time.Time) bool {
	sleep(ctx, min(time.Until(next), minReadInterval-time.Since(began)))
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-f.refresh:
		return ctx.Err() == nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// pause returns the time between the begin of a read, which ended with err, and the
// next one.
func (f *Follower) pause(err error) time.Duration {
	reads := len(f.peers.Readers()) > 0
	switch {
	case err != nil && !reads:
		return f.policy.RetryInterval
	case reads && f.peers.IsRelay():
		return f.policy.RelayInterval
	}
	return f.policy.Interval
}

// errNoReaderHasMetadata is the error of a read soon after the start.
var errNoReaderHasMetadata = errors.New("no reader has metadata yet")

// waitForReaders waits until there are readers, but no longer than FirstRead.
func (f *Follower) waitForReaders(ctx context.Context) {
	for end := time.Now().Add(f.policy.FirstRead); time.Now().Before(end) && ctx.Err() == nil && len(f.peers.Readers()) == 0; {
		sleep(ctx, readersPollInterval)
	}
}

// readersPollInterval is the time between two checks for readers before the first
// read.
const readersPollInterval = 50 * time.Millisecond

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

// read reads once from the source, or from a fallback peer if the source fails,
// and applies the batch.
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
	batch, ok := f.fetchFromPeer(ctx, fallback, f.proofAge())
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
		f.logEvent(e, batch)
	}
	if len(events) > 0 || f.view.Load() == nil {
		if v := f.state.View(); v != nil {
			f.view.Store(v)
			f.publish(v)
		}
	}
}

// fetch reads from the first reader that returns a recent batch. If none does, it
// reads the changes from the source, or all items before the first successful
// read and when the source no longer has the changes.
func (f *Follower) fetch(ctx context.Context) (metadata.Batch, error) {
	for _, reader := range f.peers.Readers() {
		if b, ok := f.fetchFromPeer(ctx, reader, f.policy.MaxPeerAge); ok {
			return b, nil
		}
	}
	if f.state.Position().Revision == 0 && len(f.peers.Readers()) > 0 && time.Since(f.started) < f.policy.FirstSourceRead {
		return metadata.Batch{}, errNoReaderHasMetadata
	}
	if rev := f.state.Position().Revision; rev > 0 {
		call, cancel := context.WithTimeout(ctx, f.policy.ChangesTimeout)
		defer cancel()
		b, err := f.source.Changes(call, rev, longPollWait)
		if !errors.Is(err, f.errHistoryGone) && (err != nil || f.state.CheckEra(b) != metadata.EraNewer) {
			return f.checked(b, err)
		}
	}
	call, cancel := context.WithTimeout(ctx, f.policy.FullTimeout)
	defer cancel()
	b, err := f.source.ReadAll(call)
	return f.checked(b, err)
}

// errOlderEra is the error of a response of an earlier era of the source, which comes from
// a copy that is behind or has been on its way for long.
var errOlderEra = errors.New("the response is of an earlier era of the store")

func (f *Follower) checked(b metadata.Batch, err error) (metadata.Batch, error) {
	if err == nil && f.state.CheckEra(b) == metadata.EraOlder {
		err = errOlderEra
	}
	return b, err
}

// fetchFromPeer reads from another VM. It returns false if the call fails or
// the response's age is maxAge or more.
func (f *Follower) fetchFromPeer(ctx context.Context, peer string, maxAge time.Duration) (metadata.Batch, bool) {
	call, cancel := context.WithTimeout(ctx, f.policy.PeerTimeout)
	defer cancel()
	b, err := f.peers.Follow(call, peer, f.state.Position())
	if err == nil && f.state.CheckEra(b) == metadata.EraNewer {
		b, err = f.peers.Follow(call, peer, metadata.Position{})
	}
	switch {
	case err != nil:
		f.log.Event("reader_failed").Str("reader", peer).Str("error", err.Error()).Send()
		return metadata.Batch{}, false
	case b.Age >= maxAge || f.state.CheckEra(b) != metadata.EraCurrent:
		f.log.Event("reader_behind").Str("reader", peer).Dur("age_ms", b.Age).Int64("era", b.Era).Send()
		return metadata.Batch{}, false
	}
	return b, true
}

// ChangesSince implements fleetrpc.ChangeSource.
func (f *Follower) ChangesSince(from metadata.Position) (metadata.Batch, bool) {
	if f.view.Load() == nil {
		return metadata.Batch{}, false
	}
	f.mu.Lock()
	b := f.state.ChangesSince(f.now(), from)
	f.mu.Unlock()
	b.Age, b.Unconfirmed = f.proofAge(), !f.confirmed.Load()
	return b, true
}

func (f *Follower) recordFailure(err error) {
	f.failures++
	if f.storeLost {
		return
	}
	f.storeLost = true
	f.log.Warning("store_lost").Str("error", err.Error()).Dur("knowledge_age_ms", f.proofAge()).Send()
}

func (f *Follower) recordSuccess() {
	if f.storeLost {
		f.log.Event("store_regained").Int("failed_reads", f.failures).Send()
	}
	f.storeLost, f.failures = false, 0
}

func (f *Follower) logEvent(e metadata.Event, b metadata.Batch) {
	l := f.log.Event("knowledge").Stringer("subject", e.Subject).
		Str("name", e.Name).Str("change", e.Kind).Int64("revision", b.Revision)
	if b.Era > 0 {
		l.Int64("era", b.Era)
	}
	if e.Err != nil {
		l.Str("error", e.Err.Error())
	}
	l.Send()
}
