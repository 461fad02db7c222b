package loadshed

import "time"

// Peek returns what Decide would decide now, without counting a request. A request that
// Decide rejects by chance isn't admitted; Fraction says how likely that is.
func (s *Shedder) Peek(now time.Time, r Request) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	reading := group{}
	reading.read(s.loads.Pressure(now, r.Services, nil))
	slowest := reading.slowest(&kind{minShare: r.MinShare})
	p := &reading.pressures[slowest]
	d := Decision{Admit: true, Service: r.Services[slowest], Load: loadOf(p), Wait: p.Wait, Age: p.Age}
	g := s.groups[r.Group]
	if g == nil || g.fraction <= 0 {
		return d
	}
	d.Overall, d.Fraction = g.fraction, g.demand.fraction(g.fraction, r.Priority, r.Customer)
	if d.Fraction > 0 && d.Load >= 1 {
		d.Admit, d.RetryAfter = false, retryAfter(d.Fraction, 0)
	}
	return d
}
