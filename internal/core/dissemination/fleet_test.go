package dissemination

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// node is one daemon of the test fleet.
type node struct {
	vm           membership.VM
	disseminator *Disseminator
	up           bool
	paused       bool
	ready        bool
	version      uint64
	// firstVersion is the first accepted version, and readyVersion the active one
	// when the daemon became ready.
	firstVersion, readyVersion uint64
	// confirmedAt is the time of the list's confirmation that the actions
	// reported.
	confirmedAt time.Time
	// incarnation distinguishes a restarted daemon's events from those of its
	// previous run.
	incarnation int
	// sent counts the requests and responses that this daemon sent, and bytes
	// estimates their size.
	sent  int
	bytes int
}

// fleet is a set of daemons on a virtual clock with a network between them.
type fleet struct {
	clock    *clock
	rng      *rand.Rand
	platform *platform
	nodes    []*node
	// byAddress finds a daemon by its peer address.
	byAddress map[string]*node
	// peerLag is added to the delay of requests between daemons.
	peerLag time.Duration
	seeds   []membership.VM
	latency time.Duration
	// loss and repeats are the fractions of messages that are lost or duplicated.
	loss, repeats float64
	// cut reports whether two zones are partitioned from each other.
	cut func(a, b string) bool
	// blockPeers drops all messages between daemons.
	blockPeers bool
	// tamper changes a daemon's state after each event, to simulate a naive policy.
	tamper       func(*Disseminator)
	versionError error
	// ignored counts the offers that daemons reported as not accepted.
	ignored int
}

func newFleet(seed uint64, zones, size int) *fleet {
	rng := rand.New(rand.NewPCG(seed, 2))
	c := newClock()
	f := &fleet{
		clock: c, rng: rng, platform: newPlatform(c, rng), byAddress: make(map[string]*node),
		latency: time.Millisecond,
		cut:     func(string, string) bool { return false },
	}
	for i := range size {
		f.add(fmt.Sprintf("vm-%04d", i), fmt.Sprintf("z%02d", i%zones))
	}
	f.publishList()
	return f
}

func (f *fleet) add(id, zone string) *node {
	n := &node{vm: membership.VM{ID: id, Zone: zone, PeerAddress: id + ":1"}}
	f.nodes = append(f.nodes, n)
	f.byAddress[n.vm.PeerAddress] = n
	f.start(n)
	return n
}

func (f *fleet) publishList() {
	var vms []membership.VM
	for _, n := range f.nodes {
		vms = append(vms, n.vm)
	}
	f.platform.setList(vms)
}

// start starts a daemon without configuration and VM list.
func (f *fleet) start(n *node) {
	n.disseminator = New(Settings{Self: n.vm, Seeds: f.seeds}, rand.New(rand.NewPCG(f.rng.Uint64(), 3)))
	n.up, n.ready, n.version, n.firstVersion = true, false, 0, 0
	n.confirmedAt = time.Time{}
	n.incarnation++
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		if !n.paused {
			f.perform(n, n.disseminator.Tick(f.clock.now))
		}
		f.clock.after(TickInterval, tick)
	}
	f.clock.after(time.Duration(f.rng.Int64N(int64(TickInterval))), tick)
}

func (f *fleet) stop(n *node) { n.up = false; n.incarnation++ }

// deliver runs do at node n after the network's delay, unless n has stopped or
// restarted by then. The message may be lost or duplicated.
func (f *fleet) deliver(n *node, do func() []Action) {
	copies := 1
	if f.rng.Float64() < f.loss {
		copies = 0
	} else if f.rng.Float64() < f.repeats {
		copies = 2
	}
	for range copies {
		incarnation := n.incarnation
		var arrive func()
		arrive = func() {
			switch {
			case n.incarnation != incarnation || !n.up:
			case n.paused:
				f.clock.after(TickInterval, arrive)
			default:
				f.perform(n, do())
			}
		}
		f.clock.after(f.delay(), arrive)
	}
}

// deliverLate calls deliver after peerLag.
func (f *fleet) deliverLate(n *node, do func() []Action) {
	f.clock.after(f.peerLag, func() { f.deliver(n, do) })
}

// delay returns an exponentially distributed delay, so that messages are
// reordered.
func (f *fleet) delay() time.Duration {
	return time.Duration(float64(f.latency) * f.rng.ExpFloat64())
}

func (f *fleet) find(vm membership.VM) *node {
	return f.byAddress[vm.PeerAddress]
}

func (f *fleet) reachable(a, b *node) bool {
	return b != nil && b.up && !f.blockPeers && !f.cut(a.vm.Zone, b.vm.Zone)
}

func (f *fleet) platformReachable(n *node) bool {
	return !f.platform.down && !f.cut(n.vm.Zone, "platform")
}

func (f *fleet) perform(n *node, list []Action) {
	if f.tamper != nil {
		f.tamper(n.disseminator)
	}
	for _, a := range list {
		switch a := a.(type) {
		case WatchConfig:
			f.watchConfig(n, a)
		case WatchList:
			f.watchList(n, a)
		case FetchFile:
			f.fetchFile(n, a)
		case Exchange:
			f.exchange(n, a)
		case PullFiles:
			f.pullFiles(n, a)
		case AdoptCatalog:
			if a.Decision.Version < n.version {
				f.versionError = fmt.Errorf("%s reverted from version %d to %d", n.vm.ID, n.version, a.Decision.Version)
			}
			n.version = a.Decision.Version
			n.firstVersion = cmp.Or(n.firstVersion, n.version)
		case IgnoreOffer:
			f.ignored++
		case AdoptList:
			n.confirmedAt = a.ConfirmedAt
		case ConfirmList:
			n.confirmedAt = a.At
		case Ready:
			n.ready = true
			n.readyVersion = n.version
		case NotReady:
			n.ready = false
		}
	}
}

func (f *fleet) watchConfig(n *node, a WatchConfig) {
	f.clock.after(f.delay(), func() {
		if !f.platformReachable(n) {
			f.deliver(n, func() []Action { return n.disseminator.OnWatchError(f.clock.now, a.Seq) })
			return
		}
		f.platform.watchFolder(a.Since, a.Wait, func(version uint64, index []catalog.FileRevision, changed bool) {
			f.deliver(n, func() []Action {
				if !changed {
					return n.disseminator.OnFolderUnchanged(f.clock.now, a.Seq)
				}
				return n.disseminator.OnFolder(f.clock.now, a.Seq, version, index)
			})
		})
	})
}

func (f *fleet) watchList(n *node, a WatchList) {
	f.clock.after(f.delay(), func() {
		if !f.platformReachable(n) {
			f.deliver(n, func() []Action { return n.disseminator.OnWatchError(f.clock.now, a.Seq) })
			return
		}
		f.platform.watchList(a.Since, a.Wait, func(list *membership.List) {
			f.deliver(n, func() []Action {
				if list == nil {
					return n.disseminator.OnListUnchanged(f.clock.now, a.Seq)
				}
				return n.disseminator.OnList(f.clock.now, a.Seq, list)
			})
		})
	})
}

func (f *fleet) fetchFile(n *node, a FetchFile) {
	f.clock.after(f.delay(), func() {
		if !f.platformReachable(n) {
			f.deliver(n, func() []Action { return n.disseminator.OnFetchError(f.clock.now, a.Name, false) })
			return
		}
		p, ok := f.platform.file(a.Name)
		f.deliver(n, func() []Action {
			if !ok {
				return n.disseminator.OnFetchError(f.clock.now, a.Name, true)
			}
			return n.disseminator.OnFetchedFile(f.clock.now, p)
		})
	})
}

// digestBytes, nameBytes and vmBytes estimate the size on the wire of an exchange
// including headers, of one file's name with its revision, and of one VM.
const (
	digestBytes = 300
	nameBytes   = 32
	vmBytes     = 50
)

func (n *node) send(bytes int) {
	n.sent++
	n.bytes += bytes
}

func (f *fleet) exchange(n *node, a Exchange) {
	to := f.find(a.Peer)
	n.send(digestBytes)
	if !f.reachable(n, to) {
		f.deliver(n, func() []Action { return n.disseminator.OnExchangeError(f.clock.now, a.Seq, a.Peer.ID) })
		return
	}
	f.deliverLate(to, func() []Action {
		out := to.disseminator.OnPeerDigest(f.clock.now, n.vm.ID, a.Digest)
		answer := to.disseminator.Digest(f.clock.now)
		var list *membership.List
		to.send(digestBytes)
		if answer.ListRevision > a.Digest.ListRevision {
			list = to.disseminator.List()
			to.bytes += vmBytes * len(list.VMs)
		}
		f.deliver(n, func() []Action {
			return n.disseminator.OnPeerAnswer(f.clock.now, a.Seq, a.Peer.ID, answer, list)
		})
		return out
	})
}

func (f *fleet) pullFiles(n *node, a PullFiles) {
	to := f.find(a.Peer)
	n.send(digestBytes + nameBytes*len(a.Have))
	if !f.reachable(n, to) {
		f.deliver(n, func() []Action { return n.disseminator.OnPullError(f.clock.now, a.Peer.ID) })
		return
	}
	f.deliverLate(to, func() []Action {
		set := to.disseminator.Files()
		files := set.MissingFrom(a.Have)
		to.send(digestBytes + nameBytes*len(set.Index))
		for _, p := range files {
			to.bytes += len(p.Content)
		}
		f.deliver(n, func() []Action {
			return n.disseminator.OnPulledFiles(f.clock.now, a.Peer.ID, set.Version, set.Index, files)
		})
		return nil
	})
}

// converged reports whether every running daemon has at least the version.
func (f *fleet) converged(version uint64) bool {
	for _, n := range f.nodes {
		if n.up && n.version < version {
			return false
		}
	}
	return true
}

// agree reports whether every running daemon is ready and has the platform's newest
// version and the same files.
func (f *fleet) agree() bool {
	var digest string
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		d := n.disseminator.Digest(f.clock.now)
		if digest == "" {
			digest = d.ConfigDigest
		}
		if !n.ready || d.ConfigVersion != f.platform.version() || d.ConfigDigest != digest {
			return false
		}
	}
	return true
}
