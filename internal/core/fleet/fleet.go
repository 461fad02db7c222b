// Package fleet holds the reports that the VMs of a fleet exchange: the
// members, and each customer's demand and admitted requests on each VM.
// `ryecourse gateway` uses it.
//
// A relay is a VM that passes on the reports of other VMs in a large fleet. A VM is
// suspected for a while after a failed call to it.
//
// The package has no I/O. Times are readings of a clock that keeps running
// while the VM is suspended.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Usage is one customer's use of one VM.
type Usage struct {
	// Demand is the arrival rate in requests per second.
	Demand float64
	// Admitted counts the admitted requests since the VM's start; it wraps.
	Admitted uint32
}

// UpstreamLimit is what one VM reports of an instance of an upstream that states a limit
// on the requests of all VMs.
type UpstreamLimit struct {
	Instance string
	// Stated reports whether the VM has lately received a statement of the instance, at
	// StatedAt on this VM's clock: that it is limited to PerSecond requests per second,
	// or that it no longer is.
	Stated, Limited bool
	PerSecond       float64
	StatedAt        time.Duration
	// Demand is the rate of the VM's attempts for which the instance is the first
	// choice.
	Demand float64
}

// UpstreamPace is a stage of the return of an instance that a VM found, see package pace.
type UpstreamPace struct {
	Instance string
	// Stage is the encoded stage.
	Stage uint32
	// PerSecond is the rate of the instance's good answers to the VM at the stage before.
	PerSecond float64
	// FoundAt is when the VM found it, on this VM's clock.
	FoundAt time.Duration
}

// State is the part of a VM's report that changes.
type State struct {
	Leaving bool
	// Isolated is set by a VM that doesn't run other VMs' requests, as it reaches no
	// upstream or has only just reached one again.
	Isolated bool
	// Usage is keyed by the hash of the customer's name.
	Usage map[uint32]Usage
	// Limits is sorted by instance.
	Limits []UpstreamLimit
	// Paces is sorted by time, the newest first.
	Paces []UpstreamPace
}

// Report is one VM's report about itself.
type Report struct {
	Address string
	Zone    string
	// Incarnation identifies the run of the VM's process. Sequence orders its reports.
	Incarnation uint64
	Sequence    uint64
	Leaving     bool
	// Draining is set while the VM takes no new queries of other VMs.
	Draining bool
	// Isolated is as in State.
	Isolated bool
	// CPUShare is the VM's share of a processor; 0 if unknown.
	CPUShare float64
	// At is when the VM wrote the report, converted to this VM's clock.
	At time.Duration
	// Usage, Limits and Paces are as in State.
	Usage  map[uint32]Usage
	Limits []UpstreamLimit
	Paces  []UpstreamPace
}

// Policy holds the sizes and time limits of a Table.
type Policy struct {
	// LeftRetention is how long a VM that has reported that it leaves stays in the
	// table, so that relayed reports don't add it again.
	LeftRetention time.Duration
	// MemberTimeout is the age of its last report from which a silent VM is
	// removed. It exceeds the usual length of a network partition, so that the
	// parts of a fleet keep counting each other's usage.
	MemberTimeout time.Duration
	// MeshSize is the largest fleet in which every pair of VMs exchanges.
	MeshSize int
	// RelaysPerZone is the number of VMs of a zone that exchange with other zones
	// in fleets above MeshSize.
	RelaysPerZone int
	// ZoneSilenceTimeout is the time without a report of a zone after which both
	// zones of a pair call each other's relays.
	ZoneSilenceTimeout time.Duration
	// SuspectPeriod is how long after a failed call a VM is not chosen as a relay
	// or fallback peer.
	SuspectPeriod time.Duration
	// SeedIntervalTicks is the number of ticks between two calls to a seed.
	SeedIntervalTicks int
}

// MeshSize is the largest fleet in which every pair of VMs exchanges. In larger
// ones the calls of all pairs would cost small VMs several hundredths of a core.
const MeshSize = 14

// DefaultPolicy returns the limits for ticks of 250 ms.
func DefaultPolicy() Policy {
	return Policy{LeftRetention: 3 * time.Second, MemberTimeout: 20 * time.Second, MeshSize: MeshSize, RelaysPerZone: 2, ZoneSilenceTimeout: 1500 * time.Millisecond,
		SuspectPeriod: 10 * time.Second, SeedIntervalTicks: 12}
}

type member struct {
	report Report
	// version orders the reports by when this VM received them.
	version uint64
	// sender is the peer that sent the report.
	sender string
	// exchanged is set once that run of the VM has exchanged with this VM directly.
	exchanged bool
}

// Table is one VM's view of the fleet. It isn't safe for concurrent use.
type Table struct {
	policy        Policy
	self          Report
	seeds         []string
	members       map[string]*member
	version       uint64
	sent          map[string]uint64 // newest member version that was sent to a peer
	ticks         int
	fallbackCalls int // calls of FallbackPeer, from a start that differs between VMs
	// failedAt is the time of the last failed call to each peer.
	failedAt map[string]time.Duration
	// peaks holds the largest fleet size in the current and the previous period.
	peaks  [2]int
	peakAt time.Duration
}

// peakPeriod is the length of a period of peaks: a VM that has left counts for
// the shares of limits until the period after its removal has ended.
const peakPeriod = 15 * time.Second

// fallbackStartRange is the range of the start of fallbackCalls. It exceeds the
// number of VMs of any fleet.
const fallbackStartRange = 1 << 16

// NewTable returns the table of a VM that has no addresses but those of seeds.
func NewTable(p Policy, self Report, seeds []string) *Table {
	return &Table{
		policy: p, self: self, seeds: seeds, members: map[string]*member{},
		sent: map[string]uint64{}, failedAt: map[string]time.Duration{},
		fallbackCalls: int(xxhash.Sum64String(self.Address) % fallbackStartRange),
	}
}

// UpdateSelf replaces the VM's own report.
func (t *Table) UpdateSelf(now time.Duration, s State) {
	t.self.Sequence++
	t.self.At, t.self.Usage, t.self.Limits, t.self.Paces = now, s.Usage, s.Limits, s.Paces
	t.self.Leaving, t.self.Isolated = s.Leaving, s.Isolated
}

// SetDraining marks the VM's own reports as those of a VM that drains.
func (t *Table) SetDraining() { t.self.Draining = true }

// Merge applies reports of other VMs and returns those that were newer than the
// table's. sender is the address of the peer that sent them.
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
			exchanged: r.Address == sender || old != nil && old.exchanged && old.report.Incarnation == r.Incarnation,
		}
		updated = append(updated, r)
	}
	return updated
}

// isNewer orders two reports of one VM. Boots have no order, so of two runs the
// report that was written later is newer, and one that the VM sends itself
// always is.
func isNewer(r, old Report, sender string) bool {
	if r.Incarnation == old.Incarnation {
		return r.Sequence > old.Sequence
	}
	return sender == r.Address || r.At > old.At
}

// RelayScope selects the reports of third VMs that are sent along with a VM's own.
type RelayScope uint8

// Relay scopes.
const (
	RelayNone RelayScope = iota
	// RelayZone selects the reports of the VM's own zone.
	RelayZone
	RelayAll
)

// ReportsFor returns the reports to send to a peer: this VM's own, then those
// in scope that the peer hasn't received yet.
func (t *Table) ReportsFor(peer string, scope RelayScope) []Report {
	out := []Report{t.self}
	if scope == RelayNone {
		return out
	}
	for addr, m := range t.members {
		if m.version > t.sent[peer] && addr != peer && m.sender != peer && (scope == RelayAll || m.report.Zone == t.self.Zone) {
			out = append(out, m.report)
		}
	}
	t.sent[peer] = t.version
	return out
}

// ReplyTo returns the reports for a VM that has sent its own, which has been
// merged. known is whether the VM was a member before.
func (t *Table) ReplyTo(caller Report, known bool) []Report {
	switch {
	case !known:
		return append([]Report{t.self}, t.membersExcept(caller.Address)...)
	case t.isLarge() && caller.Zone == t.self.Zone:
		return t.ReportsFor(caller.Address, RelayAll)
	case t.isLarge() && !slices.Contains(t.relays(caller.Zone, t.self.At), caller.Address):
		// Only relays call other zones: the caller takes the fleet for a small one.
		return append([]Report{t.self}, t.membersExcept(caller.Address)...)
	case t.isLarge():
		return t.ReportsFor(caller.Address, RelayZone)
	default:
		return t.ReportsFor(caller.Address, RelayNone)
	}
}

// membersExcept returns the reports of all members but one.
func (t *Table) membersExcept(address string) []Report {
	return slices.DeleteFunc(t.Members(), func(r Report) bool { return r.Address == address })
}

// Contains reports whether this run of a VM is a member.
func (t *Table) Contains(r Report) bool {
	m := t.members[r.Address]
	return m != nil && m.report.Incarnation == r.Incarnation
}

// isLarge reports whether the fleet is too large for exchanges of all pairs.
func (t *Table) isLarge() bool { return len(t.members)+1 > t.policy.MeshSize }

// MarkFailed records a failed call. The peer may not have received the reports
// that ReportsFor returned.
func (t *Table) MarkFailed(now time.Duration, peer string) {
	delete(t.sent, peer)
	t.failedAt[peer] = now
}

// Expire removes VMs that have been silent for too long or have left, and
// returns their addresses.
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

// Size returns the number of VMs that limits are divided by. It includes VMs
// that left recently.
func (t *Table) Size() int { return max(t.peaks[0], t.peaks[1], len(t.members)+1) }

// Rank returns this VM's position in an order of all VMs that depends on name
// and is the same on all VMs with the same members.
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

// Members returns the reports of all other VMs, including silent ones.
func (t *Table) Members() []Report {
	out := make([]Report, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.report)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
