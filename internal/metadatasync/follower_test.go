package metadatasync

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
)

var errGone = errors.New("history is gone")

// fakeSource returns the batch or error that the test sets.
type fakeSource struct {
	changes     metadata.Batch
	full        metadata.Batch // a small one if it is empty
	err         error
	fullReads   int
	changeReads int
}

func (s *fakeSource) Changes(context.Context, int64, time.Duration) (metadata.Batch, error) {
	s.changeReads++
	return s.changes, s.err
}

func (s *fakeSource) ReadAll(context.Context) (metadata.Batch, error) {
	s.fullReads++
	if s.full.Full {
		return s.full, nil
	}
	return metadata.Batch{Full: true, Revision: 10, Changes: []metadata.Change{config(1, 5)}}, nil
}

// fakePeers are VMs with a copy of the metadata. Those in failing don't
// respond.
type fakePeers struct {
	readers  []string
	relay    bool
	fallback string
	failing  map[string]bool
	batch    metadata.Batch
	err      error
	called   []string
}

func (p *fakePeers) IsRelay() bool { return p.relay }

func (p *fakePeers) Readers() []string { return p.readers }

func (p *fakePeers) FallbackPeer() string { return p.fallback }

func (p *fakePeers) Follow(_ context.Context, vm string, _ metadata.Position) (metadata.Batch, error) {
	p.called = append(p.called, vm)
	if p.failing[vm] {
		return metadata.Batch{}, errors.New("no answer")
	}
	return p.batch, p.err
}

func config(version, revision int64) metadata.Change {
	return metadata.Change{Subject: metadata.SubjectConfig, Revision: revision, Config: &routetable.Config{Version: version}}
}

type follower struct {
	*Follower
	source *fakeSource
	peers  *fakePeers
	clock  time.Duration
	views  int
}

func newFollower(t *testing.T) *follower {
	t.Helper()
	f := &follower{source: &fakeSource{}, peers: &fakePeers{}, clock: time.Hour}
	log := eventlog.New(&bytes.Buffer{}, "vm")
	t.Cleanup(func() { log.Close() })
	f.Follower = NewFollower(f.source, f.peers, DefaultPolicy(), errGone, log, func(*metadata.View) { f.views++ })
	f.now = func() time.Duration { return f.clock }
	return f
}

func (f *follower) expectAge(t *testing.T, want time.Duration) {
	t.Helper()
	if got := f.Age(); got != want {
		t.Errorf("age is %v, want %v", got, want)
	}
}

func TestFirstReadIsOfEverything(t *testing.T) {
	f := newFollower(t)
	if f.View() != nil || f.Age() != unknownAge {
		t.Error("there is a view or an age before the first read")
	}
	if err := f.read(t.Context()); err != nil || f.source.fullReads != 1 || f.source.changeReads != 0 {
		t.Fatalf("%v after %d full reads and %d of changes", err, f.source.fullReads, f.source.changeReads)
	}
	f.expectAge(t, 0)
	if f.View().Table.Config.Version != 1 || f.views != 1 {
		t.Errorf("view is %+v, published %d times", f.View(), f.views)
	}
}

func TestAgeGrowsWhileReadsFail(t *testing.T) {
	f := newFollower(t)
	f.read(t.Context())
	f.clock += 3 * time.Second
	f.source.err = errors.New("down")
	if f.read(t.Context()) == nil {
		t.Error("a failed read returned no error")
	}
	f.expectAge(t, 3*time.Second)
	f.source.err = nil
	f.read(t.Context())
	f.expectAge(t, 0)
}

func TestLostHistoryCausesAFullRead(t *testing.T) {
	f := newFollower(t)
	f.read(t.Context())
	f.source.err = errGone
	if err := f.read(t.Context()); err != nil || f.source.fullReads != 2 {
		t.Errorf("%v after %d full reads", err, f.source.fullReads)
	}
}

func TestPeerBatchKeepsItsAge(t *testing.T) {
	f := newFollower(t)
	f.peers.readers = []string{"peer"}
	f.peers.batch = metadata.Batch{Full: true, Revision: 20, Changes: []metadata.Change{config(2, 15)}, Age: 1500 * time.Millisecond}
	f.read(t.Context())
	f.expectAge(t, 1500*time.Millisecond)
	if f.source.fullReads != 0 || f.View().Table.Config.Version != 2 {
		t.Error("the store was read, or the peer's configuration isn't active")
	}
}

func TestLaggingOrFailingPeerIsSkipped(t *testing.T) {
	for name, set := range map[string]func(p *fakePeers){
		"behind": func(p *fakePeers) { p.batch.Age = 5 * time.Second },
		"fails":  func(p *fakePeers) { p.err = errors.New("no answer") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollower(t)
			f.peers.readers = []string{"peer"}
			set(f.peers)
			if err := f.read(t.Context()); err != nil || f.source.fullReads != 1 {
				t.Errorf("%v after %d full reads", err, f.source.fullReads)
			}
			f.expectAge(t, 0)
		})
	}
}

func TestSecondReaderIsQueriedBeforeTheSource(t *testing.T) {
	f := newFollower(t)
	f.peers.readers = []string{"first", "second"}
	f.peers.failing = map[string]bool{"first": true}
	f.peers.batch = metadata.Batch{Full: true, Revision: 20, Changes: []metadata.Change{config(2, 15)}}
	f.read(t.Context())
	if f.source.fullReads != 0 || !slices.Equal(f.peers.called, []string{"first", "second"}) {
		t.Errorf("%d full reads after calls to %v", f.source.fullReads, f.peers.called)
	}
}

func TestFallbackPeerIsUsedWhileTheSourceFails(t *testing.T) {
	f := newFollower(t)
	f.read(t.Context())
	f.source.err, f.peers.fallback = errors.New("status 503"), "helper"
	for i := range 5 {
		f.clock += 2 * time.Second
		f.peers.batch = metadata.Batch{Revision: int64(20 + i), Changes: []metadata.Change{config(int64(2+i), int64(20+i))}, Age: time.Second}
		if err := f.read(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.expectAge(t, time.Second)
	}
	if v := f.View().Table.Config.Version; v != 6 || !f.storeLost {
		t.Errorf("version %d is active, store lost: %v", v, f.storeLost)
	}
}

func TestFallbackPeerThatIsNotNewerIsIgnored(t *testing.T) {
	f := newFollower(t)
	f.read(t.Context())
	f.clock += 2 * time.Second
	f.source.err, f.peers.fallback = errors.New("status 503"), "helper"
	f.peers.batch = metadata.Batch{Revision: 9, Age: 2 * time.Second}
	if f.read(t.Context()) == nil {
		t.Error("a batch that is as old as the view was applied")
	}
	f.expectAge(t, 2*time.Second)
}

func TestOlderBatchDoesNotIncreaseTheAge(t *testing.T) {
	f := newFollower(t)
	f.read(t.Context())
	f.clock += 100 * time.Millisecond
	f.peers.readers = []string{"peer"}
	f.peers.batch = metadata.Batch{Revision: 8, Age: time.Second}
	f.read(t.Context())
	f.expectAge(t, 100*time.Millisecond)
}

func TestChangesSince(t *testing.T) {
	f := newFollower(t)
	if _, ok := f.ChangesSince(metadata.Position{Revision: 0}); ok {
		t.Error("a batch was returned before the first read")
	}
	f.read(t.Context())
	f.clock += time.Second
	b, ok := f.ChangesSince(metadata.Position{Revision: 0})
	if !ok || !b.Full || b.Age != time.Second || len(b.Changes) != 1 {
		t.Errorf("batch is %+v", b)
	}
	if b, _ = f.ChangesSince(metadata.Position{Revision: 10}); len(b.Changes) != 0 {
		t.Errorf("batch for the same revision is %+v", b)
	}
}

func TestPauseBetweenReads(t *testing.T) {
	p := DefaultPolicy()
	failed := errors.New("no answer")
	for name, test := range map[string]struct {
		peers fakePeers
		err   error
		want  time.Duration
	}{
		"reads the source":                 {fakePeers{}, nil, p.Interval},
		"the source fails":                 {fakePeers{}, failed, p.RetryInterval},
		"reads from a VM":                  {fakePeers{readers: []string{"a"}}, nil, p.Interval},
		"reads from a VM, all fail":        {fakePeers{readers: []string{"a"}}, failed, p.Interval},
		"reads from a VM and is read from": {fakePeers{readers: []string{"a"}, relay: true}, nil, p.RelayInterval},
		"reads the source, is read from":   {fakePeers{relay: true}, nil, p.Interval},
	} {
		f := NewFollower(nil, &test.peers, p, nil, nil, nil)
		if got := f.pause(test.err); got != test.want {
			t.Errorf("%s: the pause is %v, want %v", name, got, test.want)
		}
	}
}

func TestFirstReadWaitsForReaders(t *testing.T) {
	f := NewFollower(nil, &fakePeers{readers: []string{"a"}}, Policy{FirstRead: time.Hour}, nil, nil, nil)
	f.waitForReaders(t.Context())
	f = NewFollower(nil, &fakePeers{}, Policy{FirstRead: time.Millisecond}, nil, nil, nil)
	f.waitForReaders(t.Context())
}

// TestReadersAreAskedFirstAtAStart checks that a VM whose readers have no metadata yet
// reads the source only after FirstSourceRead.
func TestReadersAreAskedFirstAtAStart(t *testing.T) {
	for _, wait := range []time.Duration{time.Hour, 0} {
		f := newFollower(t)
		f.peers.readers, f.peers.failing = []string{"a"}, map[string]bool{"a": true}
		f.policy.FirstSourceRead, f.started = wait, time.Now()
		_, err := f.fetch(t.Context())
		if waits := errors.Is(err, errNoReaderHasMetadata); waits != (wait > 0) || f.source.fullReads > 0 == waits {
			t.Errorf("wait of %v: error %v, %d reads of the source", wait, err, f.source.fullReads)
		}
	}
}

// signallingSource signals each of its reads.
type signallingSource struct {
	fakeSource
	reads chan struct{}
}

func (s *signallingSource) Changes(context.Context, int64, time.Duration) (metadata.Batch, error) {
	s.reads <- struct{}{}
	return metadata.Batch{Revision: 10}, nil
}

// TestRefreshReadsAtOnce guards against a VM that learns of another version only with its next
// regular read.
func TestRefreshReadsAtOnce(t *testing.T) {
	s := &signallingSource{reads: make(chan struct{})}
	p := DefaultPolicy()
	p.Interval = time.Hour
	f := NewFollower(s, &fakePeers{}, p, errGone, eventlog.New(bytes.NewBuffer(nil), "vm"), func(*metadata.View) {})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	for range 3 {
		f.Refresh()
		<-s.reads
	}
	cancel()
	<-ended
}
