// Package fleetrpc exchanges reports and metadata between the VMs of a fleet
// over connect-go. `ryecourse gateway` uses it.
//
// A report is what a VM says about itself: its address, zone and customers' usage.
// An exchange is one call in which two VMs swap reports; it isn't related to the
// exchanges of package dissemination. In a large fleet a few VMs of each zone are
// relays, which pass on the reports of other VMs. They are also the zone's readers:
// they read the metadata store, and the other VMs of the zone follow one of them.
package fleetrpc

import (
	"math"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
)

// milli is the number of thousandths in one.
const milli = 1000

func encodeReports(now time.Duration, reports []fleet.Report) []*fleetv1.Report {
	out := make([]*fleetv1.Report, 0, len(reports))
	for _, r := range reports {
		m := &fleetv1.Report{
			Address: r.Address, Zone: r.Zone, Boot: r.Incarnation, Sequence: r.Sequence,
			AgeMs: ageMs(now, r.At), Leaving: r.Leaving,
			Draining: r.Draining, Isolated: r.Isolated, CpuMillis: uint32(math.Round(r.CPUShare * milli)),
			Usage: make([]*fleetv1.Usage, 0, len(r.Usage)),
		}
		for customer, u := range r.Usage {
			m.Usage = append(m.Usage, &fleetv1.Usage{Customer: customer, Demand: float32(u.Demand), Admitted: u.Admitted})
		}
		m.Limits = encodeLimits(now, r.Limits)
		m.Paces = encodePaces(now, r.Paces)
		out = append(out, m)
	}
	return out
}

func encodeLimits(now time.Duration, limits []fleet.UpstreamLimit) []*fleetv1.UpstreamLimit {
	var out []*fleetv1.UpstreamLimit
	for _, l := range limits {
		m := &fleetv1.UpstreamLimit{Instance: l.Instance, Demand: float32(l.Demand)}
		if l.Stated {
			m.StatedAgeMs = 1 + ageMs(now, l.StatedAt)
			m.Limited, m.PerSecond = l.Limited, l.PerSecond
		}
		out = append(out, m)
	}
	return out
}

func decodeLimits(now time.Duration, limits []*fleetv1.UpstreamLimit) []fleet.UpstreamLimit {
	var out []fleet.UpstreamLimit
	for _, m := range limits {
		l := fleet.UpstreamLimit{Instance: m.Instance, Demand: float64(m.Demand)}
		if m.StatedAgeMs > 0 {
			l.Stated, l.Limited, l.PerSecond = true, m.Limited, m.PerSecond
			l.StatedAt = timeOf(now, m.StatedAgeMs-1)
		}
		out = append(out, l)
	}
	return out
}

func encodePaces(now time.Duration, paces []fleet.UpstreamPace) []*fleetv1.UpstreamPace {
	var out []*fleetv1.UpstreamPace
	for _, p := range paces {
		out = append(out, &fleetv1.UpstreamPace{
			Instance: p.Instance, Stage: p.Stage, PerSecond: float32(p.PerSecond), AgeMs: ageMs(now, p.FoundAt),
		})
	}
	return out
}

func decodePaces(now time.Duration, paces []*fleetv1.UpstreamPace) []fleet.UpstreamPace {
	var out []fleet.UpstreamPace
	for _, m := range paces {
		out = append(out, fleet.UpstreamPace{
			Instance: m.Instance, Stage: m.Stage, PerSecond: float64(m.PerSecond), FoundAt: timeOf(now, m.AgeMs),
		})
	}
	return out
}

func decodeReports(now time.Duration, reports []*fleetv1.Report) []fleet.Report {
	out := make([]fleet.Report, 0, len(reports))
	for _, m := range reports {
		r := fleet.Report{
			Address: m.Address, Zone: m.Zone, Incarnation: m.Boot, Sequence: m.Sequence, Leaving: m.Leaving,
			Draining: m.Draining, Isolated: m.Isolated, CPUShare: float64(m.CpuMillis) / milli,
			At:    timeOf(now, m.AgeMs),
			Usage: make(map[uint32]fleet.Usage, len(m.Usage)),
		}
		for _, u := range m.Usage {
			r.Usage[u.Customer] = fleet.Usage{Demand: float64(u.Demand), Admitted: u.Admitted}
		}
		r.Limits = decodeLimits(now, m.Limits)
		r.Paces = decodePaces(now, m.Paces)
		out = append(out, r)
	}
	return out
}
