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
	// Alive is the age of a report up to which its VM counts as reachable.
	Alive time.Duration
	// Forget is the age from which a silent VM no longer counts for anything. It
	// exceeds the usual length of a partition, so that the parts of a fleet go on
	// counting each other's use.
	Forget time.Duration
	// MeshSize is the largest fleet in which every pair of VMs exchanges.
	MeshSize int
	// Links is the number of VMs of a zone that exchange with other zones in
	// larger fleets.
	Links int
	// SeedEvery is the number of ticks between two calls to a seed.
	SeedEvery int
}

// DefaultPolicy suits ticks of a quarter of a second.
func DefaultPolicy() Policy {
	return Policy{Alive: 1500 * time.Millisecond, Forget: 20 * time.Second, MeshSize: 14, Links: 2, SeedEvery: 12}
}

type member struct {
	report Report
	// version orders the reports by when this VM took them in.
	version uint64
}

// Table is the state of one VM. It isn't safe for concurrent use.
type Table struct {
	policy  Policy
	self    Report
	seeds   []string
	members map[string]*member
	version uint64
	sent    map[string]uint64 // version up to which a peer has had reports
	ticks   int
	// peak is the largest size in the last two periods of peakPeriod.
	peaks  [2]int
	peakAt time.Duration
}

// peakPeriod is how long a VM that has left still counts for shares of limits.
const peakPeriod = 15 * time.Second

// NewTable returns the table of a VM that knows only seeds.
func NewTable(p Policy, self Report, seeds []string) *Table {
	return &Table{policy: p, self: self, seeds: seeds, members: map[string]*member{}, sent: map[string]uint64{}}
}

// Write replaces the VM's own report.
func (t *Table) Write(now time.Duration, usage map[uint32]Usage, leaving bool) {
	t.self.Sequence++
	t.self.At, t.self.Usage, t.self.Leaving = now, usage, leaving
}

// Merge takes in reports of other VMs and returns those that were news. direct
// is the address of the peer that sent them.
func (t *Table) Merge(reports []Report, direct string) []Report {
	var news []Report
	for _, r := range reports {
		if r.Address == t.self.Address || r.Address == "" {
			continue
		}
		if m := t.members[r.Address]; m != nil && !isNewer(r, m.report, direct) {
			continue
		}
		t.version++
		t.members[r.Address] = &member{report: r, version: t.version}
		news = append(news, r)
	}
	return news
}

// isNewer orders two reports of one VM. Boots have no order, so the report that
// was written later counts; the VM's own word counts most.
func isNewer(r, old Report, direct string) bool {
	if r.Boot == old.Boot {
		return r.Sequence > old.Sequence
	}
	return direct == r.Address || r.At > old.At
}

// For returns the reports that a peer hasn't had yet, that of this VM first.
// relay adds those of third VMs.
func (t *Table) For(peer string, relay bool) []Report {
	out := []Report{t.self}
	if !relay {
		return out
	}
	for addr, m := range t.members {
		if m.version > t.sent[peer] && addr != peer {
			out = append(out, m.report)
		}
	}
	t.sent[peer] = t.version
	return out
}

// Failed tells that a peer may not have had the reports that For returned.
func (t *Table) Failed(peer string) { delete(t.sent, peer) }

// Expire drops VMs that have been silent for too long or have left, and returns
// their addresses.
func (t *Table) Expire(now time.Duration) []string {
	var gone []string
	for addr, m := range t.members {
		limit := t.policy.Forget
		if m.report.Leaving {
			limit = t.policy.Alive
		}
		if now-m.report.At > limit {
			delete(t.members, addr)
			delete(t.sent, addr)
			gone = append(gone, addr)
		}
	}
	t.notePeak(now)
	return gone
}

func (t *Table) notePeak(now time.Duration) {
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

// Members returns the reports of all other VMs, also of silent ones.
func (t *Table) Members() []Report {
	out := make([]Report, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m.report)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// IsAlive reports whether a VM's report is fresh.
func (t *Table) IsAlive(r Report, now time.Duration) bool {
	return now-r.At <= t.policy.Alive && !r.Leaving
}

// Target is a peer to exchange with.
type Target struct {
	Address string
	// Relay tells to send the reports of third VMs too.
	Relay bool
}

// Targets returns the peers to call with this tick. Each pair of VMs is covered
// by a call of one of the two.
func (t *Table) Targets() []Target {
	t.ticks++
	var out []Target
	if len(t.members)+1 <= t.policy.MeshSize {
		for _, addr := range t.ringNeighbors(func(Report) bool { return true }) {
			out = append(out, Target{Address: addr})
		}
	} else {
		out = t.zonedTargets()
	}
	if len(t.seeds) > 0 && (len(t.members) == 0 || t.ticks%t.policy.SeedEvery == 0) {
		seed := t.seeds[(t.ticks/max(t.policy.SeedEvery, 1)+t.ticks)%len(t.seeds)]
		if seed != t.self.Address {
			out = append(out, Target{Address: seed, Relay: true})
		}
	}
	return out
}

// ringNeighbors returns the half of the ring of VMs that follows this one.
func (t *Table) ringNeighbors(in func(Report) bool) []string {
	ring := []string{t.self.Address}
	for addr, m := range t.members {
		if in(m.report) {
			ring = append(ring, addr)
		}
	}
	slices.Sort(ring)
	self, _ := slices.BinarySearch(ring, t.self.Address)
	n := len(ring)
	var out []string
	for i := 1; 2*i <= n; i++ {
		if 2*i == n && self >= n/2 { // the opposite VM calls
			break
		}
		out = append(out, ring[(self+i)%n])
	}
	return out
}

// zonedTargets returns the VMs of the own zone, and for the first VMs of a zone
// their counterparts in the other zones.
func (t *Table) zonedTargets() []Target {
	var out []Target
	for _, addr := range t.ringNeighbors(func(r Report) bool { return r.Zone == t.self.Zone }) {
		out = append(out, Target{Address: addr, Relay: true})
	}
	zones := map[string][]string{t.self.Zone: {t.self.Address}}
	for addr, m := range t.members {
		zones[m.report.Zone] = append(zones[m.report.Zone], addr)
	}
	for _, list := range zones {
		slices.Sort(list)
	}
	rank := slices.Index(zones[t.self.Zone], t.self.Address)
	if rank >= t.policy.Links {
		return out
	}
	for zone, list := range zones {
		if zone > t.self.Zone { // the other side of the pair calls this one
			out = append(out, Target{Address: list[rank%len(list)], Relay: true})
		}
	}
	return out
}
