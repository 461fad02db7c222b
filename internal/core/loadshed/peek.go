package loadshed

import (
	"maps"
	"slices"
	"time"
)

// Peek returns what Decide would decide now, without counting a request. A request that
// Decide rejects by chance isn't admitted; Fraction says how likely that is.
func (s *Shedder) Peek(now time.Time, r Request) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[r.Group]
	if g == nil {
		g = newGroup(now)
	}
	shadow := g.clone()
	k := shadow.kind(now, &r)
	pressures := s.loads.Pressure(now, r.Services, nil)
	if now.Sub(shadow.scannedAt) >= scanInterval {
		shadow.demand.add(levelOf(&r), r.Customer)
		shadow.update(now, pressures)
	} else {
		shadow.read(pressures)
	}
	slowest := shadow.slowest(k)
	p := &shadow.pressures[slowest]
	d := Decision{Admit: true, Overall: shadow.fraction, Service: r.Services[slowest], Load: loadOf(p), Wait: p.Wait, Age: p.Age}
	if shadow.fraction <= 0 || loadOf(p) <= 1 || shadow.probes(now) {
		return d
	}
	if d.Fraction = shadow.fractionFor(levelOf(&r), r.Customer); d.Fraction > 0 {
		d.Admit, d.RetryAfter = false, retryAfter(d.Fraction, 0)
	}
	return d
}

// clone returns a copy that shares nothing which a decision changes.
func (g *group) clone() *group {
	out := *g
	out.pressures, out.waits = slices.Clone(g.pressures), slices.Clone(g.waits)
	out.sorted, out.order = slices.Clone(g.sorted), slices.Clone(g.order)
	out.kinds = make(map[string]*kind, len(g.kinds))
	for name, k := range g.kinds {
		other := *k
		out.kinds[name] = &other
	}
	for i := range out.demand.level {
		out.demand.level[i].customer = maps.Clone(g.demand.level[i].customer)
	}
	return &out
}
