// Package spread decides how one daemon learns of new configuration and of new
// VM lists, and how it passes them on.
//
// A few daemons of each availability zone, its readers, watch the platform.
// All daemons exchange digests of what they hold with a bounded set of peers
// and pull what they lack from whoever has it. The reads of the platform
// depend on the number of zones and not on the number of daemons.
//
// A Spread is a state machine without I/O: events and the time go in, actions
// come out. It is owned by the control goroutine, which carries the actions
// out and reports their results as further events. Each read and exchange has
// a timeout of its own here, so that a lost report does no lasting harm.
package dissemination

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// TickInterval is how often Tick should be called.
const TickInterval = 100 * time.Millisecond

// maxActions bounds the actions of one tick, besides one for each neighbour.
const maxActions = 2 + fetchesInFlight + 2*startAnswers + 4

// Settings are what a daemon knows of itself.
type Settings struct {
	// Self is the daemon's own VM.
	Self membership.VM
	// Seeds are peers to ask before a VM list is known. Seeds without an ID are
	// known by their address. All daemons may have the same ones: a daemon that
	// finds its own address among them knows that the others ask it.
	Seeds []membership.VM
}

// Disseminator is the state of one daemon.
type Disseminator struct {
	self     membership.VM
	isSeed   bool
	rng      *rand.Rand
	acceptor *catalog.Acceptor
	// lastIgnored is the last offer that was reported as not taken.
	lastIgnored ignoredOffer

	list *membership.List
	// confirmedAt is a time at which the platform had no newer list for some
	// reader. It is never later than the true one, and zero when unknown.
	confirmedAt time.Time
	topology    topology

	phase   phase
	startAt time.Time
	// lastEvent is when the last event or tick came in.
	lastEvent time.Time

	service service
	gossip  gossip
	seq     Seq
	counts  Counts
}

// Counts holds what the metrics page shows. Each only grows.
type Counts struct {
	// Reads of the platform, waiting watches included.
	Reads uint64
	// Exchanges and Pulls that this daemon began.
	Exchanges, Pulls uint64
	// OlderLists were ignored.
	OlderLists uint64
	// OlderFiles are contents of a file below the revision that was asked for.
	OlderFiles uint64
	// Fallbacks are reads by a daemon that is no reader.
	Fallbacks uint64
	// Pauses are gaps between ticks after which the daemon checked its state.
	Pauses uint64
}

// New returns the state of a daemon that knows nothing yet. Rng must not be
// shared.
func New(settings Settings, rng *rand.Rand) *Disseminator {
	s := &Disseminator{
		self:     settings.Self,
		rng:      rng,
		acceptor: catalog.NewAcceptor(),
		gossip:   newGossip(),
	}
	s.topology = newTopology(s.self, &membership.List{VMs: s.seedsWithoutSelf(settings.Seeds)})
	s.topology.readers = nil
	s.isSeed = slices.ContainsFunc(settings.Seeds, s.isSelf)
	return s
}

func (s *Disseminator) isSelf(vm membership.VM) bool { return vm.PeerAddress == s.self.PeerAddress }

// seedsWithoutSelf returns the seeds without the daemon itself.
func (s *Disseminator) seedsWithoutSelf(vms []membership.VM) []membership.VM {
	var out []membership.VM
	for _, vm := range vms {
		if s.isSelf(vm) {
			continue
		}
		if vm.ID == "" {
			vm.ID = vm.PeerAddress
		}
		out = append(out, vm)
	}
	return out
}

// Tick does what is due at now.
func (s *Disseminator) Tick(now time.Time) []Action {
	out := s.beginEvent(now)
	s.expireRequests(now)
	s.readPlatform(now, out)
	s.fetchFiles(now, out)
	s.exchange(now, out)
	s.pull(now, out)
	s.advancePhase(now, out)
	invariant.Check(len(out.list) <= maxActions+len(s.topology.neighbours), "spread_actions_unbounded")
	return out.list
}

// Catalog returns the catalog in force, or nil before the first.
func (s *Disseminator) Catalog() *catalog.Catalog { return s.acceptor.Catalog() }

// Files returns the files in force, to answer peers from. They are immutable.
func (s *Disseminator) Files() *catalog.FileSet { return s.acceptor.Files() }

// List returns the newest known VM list, or nil. It is immutable.
func (s *Disseminator) List() *membership.List { return s.list }

// Counts returns the counters.
func (s *Disseminator) Counts() Counts { return s.counts }

// Decisions returns how many offered configurations had each outcome.
func (s *Disseminator) Decisions() catalog.Counts { return s.acceptor.Counts() }

// IsReader tells whether this daemon reads the platform for its zone.
func (s *Disseminator) IsReader() bool { return s.topology.isReader(s.self.ID) }

// ListAge returns an upper bound of the time since the platform confirmed the
// VM list, to this daemon or to a peer. Delays of messages and pauses of this
// daemon make it larger and never smaller. It returns false when unknown.
func (s *Disseminator) ListAge(now time.Time) (time.Duration, bool) {
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return membership.Elapsed(s.confirmedAt, now), true
}

func (s *Disseminator) nextSeq() Seq {
	s.seq++
	return s.seq
}

// confirmList notes that the list in force was the newest at the given time.
func (s *Disseminator) confirmList(at time.Time, out *actions) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
		out.add(ConfirmList{List: s.list, At: at})
	}
}

// Digest summarises what this daemon holds, for exchanges.
func (s *Disseminator) Digest(now time.Time) Digest {
	d := Digest{ConfigVersion: s.acceptor.Version(), ConfigDigest: s.acceptor.Files().Digest, ListAge: UnknownAge}
	if s.list != nil {
		d.ListRevision = s.list.Revision
	}
	if age, ok := s.ListAge(now); ok {
		d.ListAge = age
	}
	return d
}

// offer passes a version of the folder to the acceptor.
func (s *Disseminator) offer(o catalog.Offer, out *actions) catalog.Decision {
	d := s.acceptor.Offer(o)
	switch d.Outcome {
	case catalog.Accepted:
		out.add(AdoptCatalog{Decision: d})
		s.gossip.markUpdated()
	case catalog.Unchanged:
	default:
		s.reportIgnored(d, out)
	}
	return d
}

// ignoredOffer identifies an offer that was not taken.
type ignoredOffer struct {
	outcome catalog.Outcome
	version uint64
	source  catalog.Source
}

// reportIgnored reports an offer that was not taken, once for as long as it repeats.
func (s *Disseminator) reportIgnored(d catalog.Decision, out *actions) {
	current := ignoredOffer{outcome: d.Outcome, version: d.Version, source: d.Source}
	if current == s.lastIgnored {
		return
	}
	s.lastIgnored = current
	out.add(IgnoreOffer{Decision: d})
}

// adoptList takes a list that a read or a peer gave.
func (s *Disseminator) adoptList(list *membership.List, out *actions) {
	if len(list.VMs) == 0 || s.list != nil && list.Revision < s.list.Revision {
		s.counts.OlderLists++
		return
	}
	if s.list != nil && list.Revision == s.list.Revision {
		return
	}
	s.list = list
	s.topology = newTopology(s.self, list)
	s.gossip.retainListed(s.topology)
	s.gossip.markUpdated()
	out.add(AdoptList{List: list, ConfirmedAt: s.confirmedAt})
}
