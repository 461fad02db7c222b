package connbudget

import (
	"cmp"
	"slices"
	"time"
)

// excess returns by how much a charge exceeds a limit; 0 or less if it doesn't. It must be
// called with mu held.
func (b *Budget) excess(c *Conn, n int64) (all, class int64) {
	limit := b.limits.Bytes
	if c.held+n > b.limits.OpenBytes+b.limits.RequestBytes+smallBytes {
		limit -= b.limits.Reserve
	}
	return b.usage.Bytes + n - limit, b.classBytes[c.class] + n - b.limits.Classes[c.class].Bytes
}

// responseExcess is excess for a response.
func (b *Budget) responseExcess(n int64) (all, responses int64) {
	return b.usage.Bytes + n - b.limits.Bytes + b.limits.Reserve, b.usage.Responses + n - b.limits.Responses
}

// makeRoomFor returns whether there is room for n bytes of a connection, now or once the victims
// have been evicted. It must be called with mu held.
func (b *Budget) makeRoomFor(now time.Time, c *Conn, n int64) (bool, []Victim) {
	all, class := b.excess(c, n)
	switch {
	case class > 0:
		return b.makeRoom(now, max(all, class), func(v *Conn) bool { return v != c && v.class == c.class })
	case all > 0:
		return b.makeRoom(now, all, func(v *Conn) bool { return v != c })
	}
	return true, nil
}

// makeRoomForResponse is makeRoomFor for a response.
func (b *Budget) makeRoomForResponse(now time.Time, n int64) (bool, []Victim) {
	all, responses := b.responseExcess(n)
	switch {
	case responses > 0:
		return b.makeRoom(now, max(all, responses), func(v *Conn) bool { return v.lent > 0 })
	case all > 0:
		return b.makeRoom(now, all, func(*Conn) bool { return true })
	}
	return true, nil
}

// makeRoom evicts connections until n bytes are free, or will be when evicted connections have
// given up what they hold.
func (b *Budget) makeRoom(now time.Time, n int64, eligible func(*Conn) bool) (bool, []Victim) {
	var candidates []ranked
	for c := range b.conns {
		switch {
		case !eligible(c):
		case c.evicted:
			n -= c.held + c.lent
		case c.isSlow(now):
			candidates = append(candidates, ranked{c, c.cost(now)})
		}
	}
	if n <= 0 {
		return true, nil
	}
	slices.SortFunc(candidates, func(x, y ranked) int { return cmp.Compare(y.cost, x.cost) })
	target := max(n, int64(float64(b.limits.Bytes)*roomFraction))
	var freed int64
	var victims []Victim
	for _, r := range candidates {
		if freed >= target {
			break
		}
		freed += r.conn.held + r.conn.lent
		victims = append(victims, b.evict(r.conn))
	}
	return freed >= n, victims
}

// evict must be called with mu held.
func (b *Budget) evict(c *Conn) Victim {
	c.evicted = true
	b.usage.Evicted[c.phase]++
	return Victim{c.evictor, c.phase}
}

// ranked is a connection that may be evicted.
type ranked struct {
	conn *Conn
	cost float64 // what it holds, multiplied by the time for which it would go on doing so
}

// isSlow reports whether a connection waits for its peer, which makes little progress.
func (c *Conn) isSlow(now time.Time) bool {
	switch c.phase {
	case Lingering, Head: // a whole head arrives at once, as a rule
		return true
	case Body, Sending:
		age := now.Sub(c.since)
		return age >= minAge && float64(c.moved) < minPace*age.Seconds() || now.Sub(c.movedAt) >= maxStall
	}
	return false
}

// cost is the cost of what a connection holds, see ranked.
func (c *Conn) cost(now time.Time) float64 {
	return float64(c.held+c.lent) * now.Sub(c.since).Seconds() / float64(c.moved+firstBytes)
}

// replace evicts a connection of a class for a newcomer: one that is being closed, one that has
// sent nothing so far, one with a part of a head, one that is idle, or a slow one. Of the same
// kind the oldest goes. It must be called with mu held.
func (b *Budget) replace(now time.Time, class Class) []Victim {
	var oldest [5]*Conn
	for c := range b.conns {
		if c.class != class || c.evicted {
			continue
		}
		if rank, ok := c.replaceRank(now); ok && (oldest[rank] == nil || c.since.Before(oldest[rank].since)) {
			oldest[rank] = c
		}
	}
	for _, c := range oldest {
		if c != nil {
			return []Victim{b.evict(c)}
		}
	}
	return nil
}

// replaceRank returns the rank of the connection among those that may be replaced.
func (c *Conn) replaceRank(now time.Time) (int, bool) {
	switch {
	case c.phase == Lingering:
		return 0, true
	case c.phase == Idle && !c.used:
		return 1, true
	case c.phase == Head:
		return 2, true
	case c.phase == Idle:
		return 3, true
	case c.isSlow(now):
		return 4, true
	}
	return 0, false
}
