// Package lease decides which VM may use which part of a limit, and for how
// long. `ryecourse serve` uses it, through package quota; `ryecourse gateway`
// doesn't.
//
// A limit is divided into parts that belong to availability zones and, within a
// zone, into numbered slots. Owner decides which slots a process holds. Lender
// and Borrower move shares between processes for a term (Gray and Cheriton,
// Leases, 1989). Safety requires clocks that run at about the same rate, but not
// synchronized clocks.
//
// Terms:
//   - A slot is a numbered part of a zone's part of every limit. A process that
//     holds it may use that part. It is unrelated to the slots of an upstream in
//     package routing.
//   - A process's view is the VM list that it has adopted. A peer supports the
//     view if it has answered a probe as a settled process and isn't known to
//     have a newer list.
//   - A witness of a zone is a VM whose support counts for the views of the
//     zone's VMs. Each zone has witnesses chosen from the whole fleet and others
//     chosen from the zone.
//   - A candidate for a slot is a VM that may hold it. Candidates are ranked.
//   - A process is settled once its start-up wait is over; only then may it hold
//     slots and support views. A list is settled once no process with an older
//     list can hold a slot.
//   - A handover passes a slot from its holder to a successor.
//   - The withheld part of a slot's share isn't used by its new holder yet,
//     because loans of the previous holder may still be in use.
//
// Points in time without a wall clock are durations on the monotonic clock of
// the process (membership.ClockReading.Mono).
//
// The types have no locks: they belong to the control goroutine.
package lease

// Share is an arrival curve and the tokens that go with it.
type Share struct {
	// Rate is in micro-requests per second.
	Rate int64
	// Capacity is in micro-requests.
	Capacity int64
	// Tokens is in micro-requests, at most Capacity.
	Tokens int64
}

// Plus adds the curves and the tokens.
func (s Share) Plus(o Share) Share {
	return Share{Rate: s.Rate + o.Rate, Capacity: s.Capacity + o.Capacity, Tokens: s.Tokens + o.Tokens}
}

// Minus subtracts the curves, down to zero. Tokens are dropped.
func (s Share) Minus(o Share) Share {
	return Share{Rate: max(s.Rate-o.Rate, 0), Capacity: max(s.Capacity-o.Capacity, 0)}
}

// Min returns the smaller curve, component by component, without tokens.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Capacity: min(s.Capacity, o.Capacity)}
}

// Max returns the larger curve, component by component, without tokens.
func (s Share) Max(o Share) Share {
	return Share{Rate: max(s.Rate, o.Rate), Capacity: max(s.Capacity, o.Capacity)}
}

// Curve returns the share without its tokens.
func (s Share) Curve() Share {
	return Share{Rate: s.Rate, Capacity: s.Capacity}
}

// IsZero reports whether the curve is zero.
func (s Share) IsZero() bool {
	return s.Rate == 0 && s.Capacity == 0
}
