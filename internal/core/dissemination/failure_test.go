package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// TestReplacedDuringStaleSpell replaces every VM in turn while the service returns
// an older version. No daemon may serve that version.
func TestReplacedDuringStaleSpell(t *testing.T) {
	outdated := 0
	for seed := range uint64(10) {
		f := smallFleet(seed)
		f.peerLag = 150 * time.Millisecond
		f.clock.run(settleTime, nil)
		f.platform.publish("20-b.json", customerFile("b", 1))
		old := f.platform.version()
		newest := f.platform.publish("20-b.json", customerFile("b", 2))
		f.clock.run(convergenceTarget, f.agree)
		f.platform.frozen = old
		for _, n := range f.nodes {
			f.stop(n)
			f.clock.run(time.Second, nil)
			f.start(n)
			f.clock.run(convergenceTarget, func() bool { return n.ready })
			if !n.ready || n.readyVersion < newest {
				t.Errorf("seed %d: %s ready %v serves version %d, want %d", seed, n.vm.ID, n.ready, n.readyVersion, newest)
			}
			if n.firstVersion < newest {
				outdated++
			}
		}
	}
	// A daemon that serves the first version it receives would fail this test.
	if outdated == 0 {
		t.Error("no daemon received the older version first: this test proves nothing")
	}
}

// TestRestartDuringOutage restarts all daemons while the platform is down. None may
// serve until the platform is up again.
func TestRestartDuringOutage(t *testing.T) {
	f := smallFleet(3)
	f.clock.run(settleTime, nil)
	f.platform.down = true
	for _, n := range f.nodes {
		f.start(n)
	}
	f.clock.run(time.Minute, nil)
	for _, n := range f.nodes {
		if n.ready {
			t.Errorf("%s serves without a configuration", n.vm.ID)
		}
	}
	f.platform.down = false
	if !f.clock.run(convergenceTarget, f.agree) {
		t.Fatal(f.describe())
	}
}

// TestOutageStopsNothing restarts the daemons one by one while the platform is
// down. Each must become ready with the state of its peers, which it finds by its
// seeds.
func TestOutageStopsNothing(t *testing.T) {
	f := smallFleet(4)
	f.clock.run(settleTime, nil)
	f.seeds = []membership.VM{{PeerAddress: "vm-0000:1"}, {PeerAddress: "vm-0005:1"}}
	f.platform.down = true
	for _, n := range f.nodes {
		f.start(n)
		if !f.clock.run(convergenceTarget, f.agree) {
			t.Fatalf("%s isn't ready: %s", n.vm.ID, f.describe())
		}
	}
}

// TestFallbackWhenReadersAreDead partitions the zones from each other while both
// readers of one zone are dead but still listed. The other daemons of that zone
// must read the platform themselves.
func TestFallbackWhenReadersAreDead(t *testing.T) {
	run := func(tamper func(*Disseminator)) bool {
		f := newFleet(5, 2, 8)
		f.platform.publish("10-a.json", customerFile("a", 1))
		f.clock.run(settleTime, nil)
		f.tamper = tamper
		f.cut = func(a, b string) bool { return a != b && b != "platform" }
		for _, n := range f.nodes {
			if n.vm.Zone == "z00" && n.disseminator.IsReader() {
				f.stop(n)
			}
		}
		f.platform.publish("20-b.json", customerFile("b", 1))
		return f.clock.run(30*time.Second, f.agree)
	}
	if !run(nil) {
		t.Error("the daemons without readers didn't receive the change")
	}
	disableFallback := func(s *Disseminator) { s.service.fallbackAt = time.Unix(1<<40, 0) }
	if run(disableFallback) {
		t.Error("they received it without fallback reads: this test proves nothing")
	}
}

// TestPause pauses a daemon during a change. After the pause it must not be ready
// before it has the change.
func TestPause(t *testing.T) {
	for seed := range uint64(10) {
		f := smallFleet(seed)
		f.clock.run(settleTime, nil)
		n := f.nodes[int(seed)%len(f.nodes)]
		n.paused = true
		f.platform.publish("20-b.json", customerFile("b", 1))
		f.clock.run(30*time.Second, nil)
		n.paused = false
		if !f.clock.run(time.Second, func() bool { return !n.ready }) {
			t.Fatalf("seed %d: still ready after a pause", seed)
		}
		if !f.clock.run(2*recheckTimeout, func() bool { return n.ready }) {
			t.Fatalf("seed %d: not ready again", seed)
		}
		if n.version != f.platform.version() {
			t.Fatalf("seed %d: ready with version %d", seed, n.version)
		}
	}
}

// TestGossipIsNeeded shows that the convergence tests fail without exchanges.
func TestGossipIsNeeded(t *testing.T) {
	f := newFleet(6, 3, 9)
	f.platform.publish("10-a.json", customerFile("a", 1))
	f.clock.run(settleTime, f.agree)
	f.blockPeers = true
	f.platform.publish("20-b.json", customerFile("b", 1))
	if f.clock.run(convergenceTarget, f.agree) {
		t.Fatal("all daemons agree without exchanging: the tests prove nothing")
	}
}

// TestForgettingGoesBack shows that the test fleet detects a daemon that reverts to
// an older version: its accepted state is discarded while replicas of the service
// lag.
func TestForgettingGoesBack(t *testing.T) {
	f := smallFleet(7)
	f.platform.lags = []time.Duration{0, 3 * time.Second}
	f.tamper = func(s *Disseminator) { s.acceptor = catalog.NewAcceptor() }
	for i := range 10 {
		f.platform.publish("20-b.json", customerFile("b", i+1))
		f.clock.run(time.Second, nil)
	}
	if f.versionError == nil {
		t.Fatal("no daemon reverted to an older version: the check of versions proves nothing")
	}
}

// TestPeerOfOtherReleaseIsPulledOnce responds like a peer whose release validates a
// file differently: same version, another digest, nothing new. The daemon must not
// pull from it repeatedly.
func TestPeerOfOtherReleaseIsPulledOnce(t *testing.T) {
	self := membership.VM{ID: "a", Zone: "z", PeerAddress: "a:1"}
	other := membership.VM{ID: "b", Zone: "z", PeerAddress: "b:1"}
	s := New(Settings{Self: self}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	s.Tick(now)
	s.OnList(now, 0, &membership.List{Revision: 1, VMs: []membership.VM{self, other}})
	index := []catalog.FileRevision{{Name: "a.json", Revision: 1}}
	files := []catalog.File{{Name: "a.json", Revision: 1, Content: []byte(customerFile("a", 1))}}
	s.OnPulledFiles(now, other.ID, 1, index, files)
	pulls := 0
	for range 20 {
		now = now.Add(TickInterval)
		d := Digest{ConfigVersion: 1, ConfigDigest: "another", ListRevision: 1, ListAge: 0}
		for _, a := range s.OnPeerDigest(now, other.ID, d) {
			if _, ok := a.(PullFiles); ok {
				pulls++
				s.OnPulledFiles(now, other.ID, 1, index, nil)
			}
		}
	}
	if pulls != 1 {
		t.Fatalf("%d pulls, want 1", pulls)
	}
}

// TestRefusedFolder lets the service return a folder without files. Reads must
// back off, and each reader may report the folder only once.
func TestRefusedFolder(t *testing.T) {
	f := smallFleet(8)
	f.clock.run(settleTime, f.agree)
	f.platform.versions = append(f.platform.versions, folderVersion{at: f.clock.now})
	f.platform.wakeWatches()
	reads, reports := f.platform.reads, f.ignored
	const span = 30 * time.Second
	f.clock.run(span, nil)
	readers := 4 * readersPerZone
	// Each reader watches the list and requests the folder after each back-off,
	// which is at least half of its upper limit.
	bound := readers * int(span/watchWait+span/(maxBackoff/2)+8)
	if n := f.platform.reads - reads; n > bound {
		t.Errorf("%d reads, bound %d", n, bound)
	}
	if n := f.ignored - reports; n == 0 || n > readers {
		t.Errorf("reported %d times by %d readers", n, readers)
	}
	if !f.converged(1) {
		t.Error("the configuration was lost")
	}
}
