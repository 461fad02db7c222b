package capacity

import (
	"cmp"
	"slices"
)

// Bottleneck compares one quantity with its target. Mechanism names the code that
// causes it.
type Bottleneck struct {
	Name          string
	Value, Target float64
	Unit          Unit
	Mechanism     string
}

// Unit is the unit of a quantity, which selects its format.
type Unit int

// The units of quantities.
const (
	UnitCore Unit = iota
	UnitBytes
	UnitBytesPerSecond
	UnitCount
	UnitSeconds
)

// Ratio returns the quantity divided by its target.
func (b Bottleneck) Ratio() float64 { return b.Value / b.Target }

// maxInbound is the number of connections that the peers' listener accepts
// (maxConnections of the peer package). A daemon that probes another keeps one
// connection to it.
const maxInbound = 512

// Bottlenecks returns the quantities that have a target, sorted by descending
// ratio. Traffic duties have none.
func (m *Model) Bottlenecks() []Bottleneck {
	t, s, f := Target(), m.slopes, m.fleet
	out := []Bottleneck{
		{"reads of the platform, all daemons", s.at("reads", f.Daemons), t.ReadsPerSecond, UnitCount, "dissemination: readers"},
		{"reads of the platform, all start at once", s.at("reads-start", f.Daemons), t.ReadsPerSecond, UnitCount, "dissemination: bootstrap"},
		{"a change active on every daemon", s.at("change-ms", f.Daemons) / 1000, t.PropagationSeconds, UnitSeconds, "dissemination"},
		{"the most probed daemon: connections of others", min(m.mostProbedRate()*probeIntervalSeconds, f.Daemons), maxInbound, UnitCount, "peer.Server: maxConnections"},
		{"a change active on every daemon, with faults", s.at("change-ms-faulty", f.Daemons) / 1000, t.PropagationSeconds, UnitSeconds, "dissemination"},
	}
	rows := append(m.Duties(), m.Control(), m.Witness(), m.Reader())
	for _, d := range rows {
		if !d.Traffic {
			out = append(out, compareWithTarget(d, t)...)
		}
	}
	slices.SortStableFunc(out, func(a, b Bottleneck) int { return cmp.Compare(b.Ratio(), a.Ratio()) })
	return out
}

// compareWithTarget returns the duty's costs with their targets, without costs of
// zero.
func compareWithTarget(d Duty, t Budget) []Bottleneck {
	all := []Bottleneck{
		{d.Name, d.Cores, t.Cores, UnitCore, d.Mechanism},
		{d.Name, d.BytesPerSecond, t.BytesPerSecond, UnitBytesPerSecond, d.Mechanism},
		{d.Name, d.MemoryBytes, t.MemoryBytes, UnitBytes, d.Mechanism},
	}
	return slices.DeleteFunc(all, func(b Bottleneck) bool { return b.Value == 0 })
}
