// Package fleet keeps what the VMs of a fleet tell each other about themselves:
// who is there, and each customer's demand and admitted requests.
//
// The package has no I/O. Times are readings of a clock that goes on during
// suspension.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Usage is one customer's use of one VM.
type Usage struct {
	// Demand is the number of requests that arrive, a second.
	Demand float64
	// Admitted counts the admitted requests since the VM's start; it wraps.
	Admitted uint32
}

// Report is what one VM tells of itself.
type Report struct {
	Address  string
	Zone     string
	Boot     uint64
	Sequence uint64
	Leaving  bool
	// At is when the VM wrote the report, on the clock of this VM.
	At time.Duration
	// Usage is by the hash of the customer's name.
	Usage map[uint32]Usage
}

// Policy holds the time limits of a Table.
type Policy struct {
	// LeftRetention is how long a VM that has said that it leaves is remembered, so that
	// relayed reports don't bring it back.
	LeftRetention time.Duration
	// MemberTimeout is the age from which a silent VM no longer counts for anything. It
	// exceeds the usual length of a partition, so that the parts of a fleet go on
	// counting each other's use.
	MemberTimeout time.Duration
	// MeshSize is the largest fleet in which every pair of VMs exchanges.
	MeshSize int
	// RelaysPerZone is the number of VMs of a zone that exchange with other zones in
	// larger fleets.
	RelaysPerZone int
	// ZoneSilenceTimeout is the time without a report of a zone after which its links are
	// called from either side.
	ZoneSilenceTimeout time.Duration
	// SuspectPeriod is how long a VM that didn't answer is not chosen as a link.
	SuspectPeriod time.Duration
	// SeedIntervalTicks is the number of ticks between two calls to a seed.
	SeedIntervalTicks int
}

// MeshSize is the largest fleet in which every pair of VMs exchanges. Above it
// the calls of all pairs would cost small VMs several hundredths of a core.
const MeshSize = 14

// DefaultPolicy suits ticks of a quarter of a second.
func DefaultPolicy() Policy {
	return Policy{LeftRetention: 3 * time.Second, MemberTimeout: 20 * time.Second, MeshSize: MeshSize, RelaysPerZone: 2, ZoneSilenceTimeout: 1500 * time.Millisecond,
		SuspectPeriod: 10 * time.Second, SeedIntervalTicks: 12}
}

type member struct {
	report Report
	// version orders the reports by when this VM took them in.
	version uint64
	// sender is the peer that sent the report.
	sender string
	// exchanged tells that the VM and this one have exchanged.
	exchanged bool
}

// Table is the state of one VM. It isn't safe for concurrent use.
type Table struct {
	policy        Policy
	self          Report
	seeds         []string
	members       map[string]*member
	version       uint64
	sent          map[string]uint64 // version up to which a peer has had reports
	ticks         int
	fallbackCalls int // calls of Helper, from a start that differs between VMs
	// failedAt holds the latest call without an answer to each peer.
	failedAt map[string]time.Duration
	// peak is the largest size in the last two periods of peakPeriod.
	peaks  [2]int
	peakAt time.Duration
}

// peakPeriod is how long a VM that has left still counts for shares of limits.
const peakPeriod = 15 * time.Second

// fallbackStartRange is a number of VMs that no zone reaches.
const fallbackStartRange = 1 << 16

// NewTable returns the table of a VM that knows only seeds.
func NewTable(p Policy, self Report, seeds []string) *Table {
	return &Table{
		policy: p, self: self, seeds: seeds, members: map[string]*member{},
		sent: map[string]uint64{}, failedAt: map[string]time.Duration{},
		fallbackCalls: int(xxhash.Sum64String(self.Address) % fallbackStartRange),
	}
}

// UpdateSelf replaces the VM's own report.
func (t *Table) UpdateSelf(now time.Duration, usage map[uint32]Usage, leaving bool) {
	t.self.Sequence++
	t.self.At, t.self.Usage, t.self.Leaving = now, usage, leaving
}

// Merge takes in reports of other VMs and returns those that were news. direct
// is the address of the peer that sent them.
func (t *Table) Merge(reports []Report, sender string) []Report {
	var updated []Report
	for _, r := range reports {
		if r.Address == t.self.Address || r.Address == "" {
			continue
		}
		old := t.members[r.Address]
		if old != nil && !isNewer(r, old.report, sender) {
			continue
		}
		t.version++
		t.members[r.Address] = &member{
			report: r, version: t.version, sender: sender,
			exchanged: r.Address == sender || old != nil && old.exchanged && old.report.Boot == r.Boot,
		}
		updated = append(updated, r)
	}
	return updated
}

// isNewer orders two reports of one VM. Boots have no order, so the report that
// was written later counts; the VM's own word counts most.
func isNewer(r, old Report, sender string) bool {
	if r.Boot == old.Boot {
		return r.Sequence > old.Sequence
	}
	return sender == r.Address || r.At > old.At
}

// RelayScope says which reports of third VMs go along with a VM's own.
type RelayScope uint8

// The kinds of relays.
const (
	RelayNone RelayScope = iota
	// RelayZone passes on the reports of the own zone.
	RelayZone
	RelayAll
)

// ReportsFor returns the reports that a peer hasn't had yet, that of this VM first.
func (t *Table) ReportsFor(peer string, relay RelayScope) []Report {
	out := []Report{t.self}
	if relay == RelayNone {
		return out
	}
	for addr, m := range t.members {
		if m.version > t.sent[peer] && addr != peer && m.sender != peer && (relay == RelayAll || m.report.Zone == t.self.Zone) {
			out = append(out, m.report)
		}
	}
	t.sent[peer] = t.version
	return out
}

// ReplyTo returns the reports for a VM that has sent its own, which has been
// merged. known tells whether it was known before.
func (t *Table) ReplyTo(caller Report, known bool) []Report {
	switch {
	case !known:
		return append([]Report{t.self}, t.membersExcept(caller.Address)...)
	case t.isLarge() && caller.Zone == t.self.Zone:
		return t.ReportsFor(caller.Address, RelayAll)
	case t.isLarge():
		return t.ReportsFor(caller.Address, RelayZone)
	default:
		return t.ReportsFor(caller.Address, RelayNone)
	}
}

// membersExcept returns the reports of all third VMs.
func (t *Table) membersExcept(address string) []Report {
	return slices.DeleteFunc(t.Members(), func(r Report) bool { return r.Address == address })
}

// Contains reports whether this run of a VM is a member.
func (t *Table) Contains(r Report) bool {
	m := t.members[r.Address]
	return m != nil && m.report.Boot == r.Boot
}

// isLarge reports whether the fleet is too large for exchanges of all pairs.
func (t *Table) isLarge() bool { return len(t.members)+1 > t.policy.MeshSize }

// MarkFailed tells that a peer may not have had the reports that For returned.
func (t *Table) MarkFailed(now time.Duration, peer string) {
	delete(t.sent, peer)
	t.failedAt[peer] = now
}

// Expire drops VMs that have been silent for too long or have left, and returns
// their addresses.
func (t *Table) Expire(now time.Duration) []string {
	var removed []string
	for addr, m := range t.members {
		limit := t.policy.MemberTimeout
		if m.report.Leaving {
			limit = t.policy.LeftRetention
		}
		if now-m.report.At > limit {
			delete(t.members, addr)
			delete(t.sent, addr)
			delete(t.failedAt, addr)
			removed = append(removed, addr)
		}
	}
	t.updatePeak(now)
	return removed
}

func (t *Table) updatePeak(now time.Duration) {
	size := len(t.members) + 1
	if now-t.peakAt > peakPeriod {
		t.peaks = [2]int{size, t.peaks[0]}
		t.peakAt = now
	}
	t.peaks[0] = max(t.peaks[0], size)
}

// Size returns the number of VMs that may be at work, those that left lately
// included.
func (t *Table) Size() int { return max(t.peaks[0], t.peaks[1], len(t.members)+1) }

// Rank returns this VM's place among all VMs, in an order that follows from the
// name and that all VMs agree on.
func (t *Table) Rank(name string) int {
	own := xxhash.Sum64String(name + t.self.Address)
	rank := 0
	for addr := range t.members {
		if xxhash.Sum64String(name+addr) < own {
			rank++
		}
	}
	return rank
}

// Members returns the reports of all other VMs, also of silent ones.
func (t *Table) Members() []Report {
	out := make([]Report, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.report)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
