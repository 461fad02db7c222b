// Package dissemination distributes new configuration and new VM lists to all
// daemons of the fleet. It is used by `ryecourse serve`.
//
// The platform is the configuration service, called the service here, together
// with the source of the VM list. A few daemons of each availability zone, its
// readers, watch the platform. All daemons exchange digests of their state with a
// bounded set of peers by gossip, and pull missing state from a peer that has it.
// The number of platform reads depends on the number of zones and not on the number
// of daemons.
//
// An exchange sends a digest, the summary of a daemon's state, to a peer, which
// responds with its own digest and with its VM list if that is newer. A pull
// requests the files of a newer configuration. A phase determines whether the
// daemon may serve: it doesn't while it starts, and while it rechecks its state
// after a pause. Seeds are the peers to query before a VM list is known; the other
// kind is called random seed.
//
// A Disseminator is a state machine without I/O: it takes events and the time,
// and returns actions. It is owned by the control goroutine, which executes the
// actions and reports their results as further events. Each read and exchange has
// a timeout within the state machine, so that a lost report has no lasting effect.
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

// maxActions is the maximum number of actions of one tick, in addition to one for
// each neighbour.
const maxActions = 2 + fetchesInFlight + 2*startAnswers + 4

// Settings configure a Disseminator.
type Settings struct {
	// Self is the daemon's own VM.
	Self membership.VM
	// Seeds are the peers to query before a VM list is known. A seed without an ID
	// is identified by its address. All daemons may have the same seeds: a daemon
	// that finds its own address among them acts as a seed for the others.
	Seeds []membership.VM
}

// Disseminator is the state of one daemon.
type Disseminator struct {
	self     membership.VM
	isSeed   bool
	rng      *rand.Rand
	acceptor *catalog.Acceptor
	// lastIgnored is the last offer that was reported as not accepted.
	lastIgnored ignoredOffer

	list *membership.List
	// confirmedAt is a time at which the platform had no newer list, as observed
	// by this daemon or a peer. It is a lower bound, and zero if unknown.
	confirmedAt time.Time
	topology    topology

	phase   phase
	startAt time.Time
	// lastEvent is the time of the last event or tick.
	lastEvent time.Time

	service service
	gossip  gossip
	seq     Seq
	counts  Counts
}

// Counts holds the counters for the metrics page. They never decrease.
type Counts struct {
	// Reads counts the reads of the platform, including waiting watches.
	Reads uint64
	// Exchanges and Pulls count those that this daemon started.
	Exchanges, Pulls uint64
	// OlderLists counts received VM lists that were ignored because they were
	// older than the active one or empty.
	OlderLists uint64
	// OlderFiles counts fetched files with a revision below the requested one.
	OlderFiles uint64
	// Fallbacks counts the reads by a daemon that isn't a reader.
	Fallbacks uint64
	// Pauses counts the gaps between events after which the daemon rechecked its
	// state.
	Pauses uint64
}

// New returns a Disseminator without configuration and VM list. Rng must not be
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

// Tick returns the actions that are due at now. It should be called every
// TickInterval.
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

// Catalog returns the active catalog, or nil before the first one.
func (s *Disseminator) Catalog() *catalog.Catalog { return s.acceptor.Catalog() }

// Files returns the accepted files, from which peers' pulls are answered. They are
// immutable.
func (s *Disseminator) Files() *catalog.FileSet { return s.acceptor.Files() }

// List returns the active VM list, or nil. It is immutable.
func (s *Disseminator) List() *membership.List { return s.list }

// Counts returns the counters.
func (s *Disseminator) Counts() Counts { return s.counts }

// Decisions returns how many configuration offers had each outcome.
func (s *Disseminator) Decisions() catalog.Counts { return s.acceptor.Counts() }

// IsReader reports whether this daemon reads the platform for its zone.
func (s *Disseminator) IsReader() bool { return s.topology.isReader(s.self.ID) }

// ListAge returns an upper bound of the time since the platform confirmed the VM
// list to this daemon or to a peer. Message delays and pauses of this daemon can
// only increase it. It returns false if the age is unknown.
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

// confirmList records that the active list was the newest at the given time.
func (s *Disseminator) confirmList(at time.Time, out *actions) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
		out.add(ConfirmList{List: s.list, At: at})
	}
}

// Digest returns the summary of this daemon's state that exchanges send.
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

// offer passes a folder version to the acceptor.
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

// ignoredOffer identifies an offer that was not accepted.
type ignoredOffer struct {
	outcome catalog.Outcome
	version uint64
	source  catalog.Source
}

// reportIgnored reports an offer that was not accepted. Consecutive repetitions of
// the same offer are reported once.
func (s *Disseminator) reportIgnored(d catalog.Decision, out *actions) {
	current := ignoredOffer{outcome: d.Outcome, version: d.Version, source: d.Source}
	if current == s.lastIgnored {
		return
	}
	s.lastIgnored = current
	out.add(IgnoreOffer{Decision: d})
}

// adoptList makes a list from the platform or a peer active if it is newer.
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
