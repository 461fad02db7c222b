package quota

import (
	"slices"
	"strings"
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// lendTimeout is the time after which a further request may replace an
	// unanswered one to the same lender. Unless the request is replaced or
	// canceled, its answer is accepted for lease.LoanTerm.
	lendTimeout = 300 * time.Millisecond
	// unreachableBackoff is how long an unreachable lender gets no requests.
	unreachableBackoff = time.Second
	// renewBefore is the remaining term at which a loan is renewed.
	renewBefore = 1200 * time.Millisecond
	// maxLendersPerTick bounds the lenders, new or present ones, that get a
	// request for a larger share of one customer's limit in one tick.
	maxLendersPerTick = 4
)

// plan collects the messages of a Tick, a Fetch or a Close by lender.
type plan struct {
	requests map[string][]lease.ShareRequest
	returns  map[string][]Grant
}

// borrow updates each customer's need, requests, renews or returns shares, and
// fetches tokens.
func (m *Manager) borrow(now time.Time, at membership.ClockReading) []Action {
	p := plan{requests: make(map[string][]lease.ShareRequest), returns: make(map[string][]Grant)}
	clear(m.lenderCache)
	for _, name := range m.names {
		a := m.accounts[name]
		s := &m.scratch
		a.bucket.snapshot(at, *m.ownedUntil.Load(), s, true) // resets the counts
		a.demand.add(s.arrivals)
		if a.demand.idle() && !a.receivesHalfOfLimit() && len(s.loans) == 0 {
			a.need = Share{}
			continue
		}
		a.updateNeed(s.shortfalls)
		m.returnExcess(at, a, s, &p)
		m.renewLoans(at, s, &p, a)
		if !a.fetchesSingleTokens() {
			m.borrowMissing(at, a, s, &p)
		}
		if s.tokens < a.retainedTokens() {
			m.planFetch(at, a, s, &p)
		}
	}
	out := m.sendReturns(&p)
	return append(out, m.sendRequests(at, &p)...)
}

// returnExcess returns loans or parts of them, the most recently started first,
// while the VM's curve, after what it has lent, exceeds returnThreshold times
// its need.
//
// For a loan with a rate, the curve must exceed that in both rate and capacity;
// for a loan of capacity alone, in capacity. A loan is returned whole if the
// remaining part would lack the capacity, or the rate that the loan has.
func (m *Manager) returnExcess(at membership.ClockReading, a *account, s *bucketState, p *plan) {
	limit := Share{Rate: int64(float64(a.need.Rate) * returnThreshold), Capacity: int64(float64(a.need.Capacity) * returnThreshold)}
	if a.need.IsZero() {
		limit = Share{}
	}
	for i := len(s.loans) - 1; i >= 0; i-- {
		excess := s.curve.Minus(limit)
		l := &s.loans[i]
		if excess.Capacity == 0 || (excess.Rate == 0 && l.share.Rate > 0) {
			return
		}
		remaining := l.share.Minus(s.curve.Minus(a.need))
		if remaining.Capacity == 0 || (remaining.Rate == 0 && l.share.Rate > 0) {
			remaining = Share{}
		}
		tokens := a.bucket.shrinkLoan(at, *m.ownedUntil.Load(), l.lender, remaining)
		returned := l.share.Minus(remaining)
		s.curve = s.curve.Minus(returned)
		l.share = remaining
		// The borrower keeps the entry's curve and returns its tokens.
		entry := remaining
		entry.Tokens = tokens
		p.returns[l.lender] = append(p.returns[l.lender], Grant{Customer: a.name, Share: entry})
	}
}

// renewLoans requests an extension of loans that end soon.
func (m *Manager) renewLoans(at membership.ClockReading, s *bucketState, p *plan, a *account) {
	for _, l := range s.loans {
		if l.share.IsZero() || !at.Add(renewBefore).Reached(l.until) {
			continue
		}
		p.addRequest(l.lender, lease.ShareRequest{Customer: a.name, Requested: l.share, Held: l.share})
	}
}

// borrowMissing requests the missing share from possible lenders, those of the
// VM's own zone first. A VM that lends already may be asked for more.
func (m *Manager) borrowMissing(at membership.ClockReading, a *account, s *bucketState, p *plan) {
	missing := a.need.Minus(s.curve)
	if missing.IsZero() {
		return
	}
	requested := 0
	for _, zone := range m.zones {
		if !slices.Contains(a.layout.zones, zone) {
			continue
		}
		for _, c := range m.lendersOf(at, zone, &a.layout) {
			if missing.IsZero() || requested == maxLendersPerTick {
				return
			}
			if a.lacksSpareRate(at.Mono, c.id) || m.borrower.Pending(at, c.id, lendTimeout) {
				continue
			}
			held := loanOf(s, c.id)
			extra := missing.Min(c.assumedShare(&a.layout).Minus(held))
			if extra.IsZero() {
				continue
			}
			p.addRequest(c.id, lease.ShareRequest{Customer: a.name, Requested: held.Plus(extra), Held: held})
			missing = missing.Minus(extra)
			requested++
		}
	}
}

// possibleLender is a VM that may be able to lend.
type possibleLender struct {
	id string
	// slots is the number of the customer's slots that this VM assumes the
	// lender to hold.
	slots int64
}

// assumedShare is the share of the customer's limit that the lender owns if it
// holds the assumed slots.
func (c possibleLender) assumedShare(l *layout) Share {
	return Share{Rate: l.share.Rate * c.slots, Capacity: l.share.Capacity * c.slots}
}

// lenderKey identifies a set of possible lenders; customers with the same key
// share the set. first and slots are those of the customer's layout.
type lenderKey struct {
	zone         string
	first, slots int
}

// lendersOf returns the VMs that probably hold the customer's slots of a zone.
// The result is cached until the next tick.
func (m *Manager) lendersOf(at membership.ClockReading, zone string, l *layout) []possibleLender {
	key := lenderKey{zone: zone, first: l.first, slots: l.slots}
	out, ok := m.lenderCache[key]
	if !ok {
		out = m.findLenders(at, zone, l)
		m.lenderCache[key] = out
	}
	return out
}

func (m *Manager) findLenders(at membership.ClockReading, zone string, l *layout) []possibleLender {
	bySlot := m.slotCandidates[zone]
	var out []possibleLender
	for slot := range bySlot {
		if !l.hasSlot(zone, slot) {
			continue
		}
		id := m.probableHolder(at, bySlot[slot])
		if id == "" {
			continue
		}
		i := slices.IndexFunc(out, func(c possibleLender) bool { return c.id == id })
		if i < 0 {
			i = len(out)
			out = append(out, possibleLender{id: id})
		}
		out[i].slots++
	}
	return out
}

// probableHolder returns the first candidate that is reachable and may hold a
// slot, or "" if that is this VM or there is none. The candidates are the VMs
// that may hold the slot, highest rank first.
func (m *Manager) probableHolder(at membership.ClockReading, candidates []membership.VM) string {
	for _, vm := range candidates {
		if vm.ID == m.params.Self.ID {
			if m.owner.Settled() && !m.owner.Draining() {
				return ""
			}
			continue
		}
		if at.Mono < m.unreachableUntil[vm.ID] || m.owner.HoldsNoSlot(at, vm.ID) {
			continue
		}
		return vm.ID
	}
	return ""
}

func loanOf(s *bucketState, lender string) Share {
	for i := range s.loans {
		if s.loans[i].lender == lender {
			return s.loans[i].share
		}
	}
	return Share{}
}

// addRequest adds a request or merges it with an earlier one for the same
// customer. Customers are planned one after the other, so an earlier request for
// this customer is the last in the list.
func (p *plan) addRequest(lender string, w lease.ShareRequest) {
	requests := p.requests[lender]
	last := len(requests) - 1
	if last < 0 || requests[last].Customer != w.Customer {
		p.requests[lender] = append(requests, w)
		return
	}
	tokens := max(requests[last].Requested.Tokens, w.Requested.Tokens) // Share.Max drops them
	requests[last].Requested = requests[last].Requested.Max(w.Requested)
	requests[last].Requested.Tokens = tokens
}

func (m *Manager) sendReturns(p *plan) []Action {
	var out []Action
	for _, lender := range sortedKeys(p.returns) {
		// The answer to a pending request would restore the share that is
		// returned here.
		m.borrower.Cancel(lender)
		to, ok := m.vm(lender)
		if !ok {
			continue
		}
		out = append(out, SendRelease{To: to, Release: Release{
			Borrower:    m.params.Self.ID,
			Incarnation: m.params.Incarnation,
			ID:          m.borrower.NextID(),
			Returned:    p.returns[lender],
		}})
	}
	return out
}

func (m *Manager) sendRequests(at membership.ClockReading, p *plan) []Action {
	var out []Action
	for _, lender := range sortedKeys(p.requests) {
		if m.borrower.Pending(at, lender, lendTimeout) || at.Mono < m.unreachableUntil[lender] {
			continue
		}
		to, ok := m.vm(lender)
		if !ok {
			continue
		}
		out = append(out, SendLend{To: to, Request: LendRequest{
			Borrower:    m.params.Self.ID,
			Incarnation: m.params.Incarnation,
			ID:          m.borrower.NewRequest(at, lender),
			Requests:    p.requests[lender],
		}})
	}
	return out
}

// sortedKeys returns the keys in a fixed order, so that the order of messages
// doesn't vary between runs.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// OnLendResponse processes a lender's answer; lender is its VM ID. Duplicate,
// outdated and expired answers are ignored. For customers that still lack a
// token, tokens are fetched at once, without waiting for the next Tick.
func (m *Manager) OnLendResponse(now time.Time, lender string, r LendResponse) []Action {
	at := m.clock(now)
	until, ok := m.borrower.Accept(at, lender, r.ID)
	if !ok {
		return nil
	}
	var out []Action
	for _, g := range r.Grants {
		a := m.accounts[g.Customer]
		if a == nil {
			continue
		}
		before := a.bucket.setLoan(at, *m.ownedUntil.Load(), lender, g.Share, until)
		if g.SpareRate == 0 {
			a.markNoSpareRate(at.Mono, lender)
		}
		if g.Share.Tokens >= micro {
			a.roundsWithoutToken = 0
		}
		a.recordSpare(at.Mono, lender, g.SpareTokens)
		if g.SpareTokens < micro {
			a.markNoSpareTokens(at.Mono, lender)
			a.recordLargestBorrower(lender, g.LargestBorrower)
		}
		out = append(out, borrowAudit(now, a.name, lender, before, g.Share)...)
	}
	return append(out, m.Fetch(now)...)
}

func borrowAudit(now time.Time, customer, lender string, before, after Share) []Action {
	switch {
	case after.Curve() == before:
		return nil
	case after.IsZero():
		return []Action{Audit{At: now, Event: EventBorrowEnded, Customer: customer, Peer: lender, Slot: -1, Share: before}}
	default:
		return []Action{Audit{At: now, Event: EventLoanChanged, Customer: customer, Peer: lender, Slot: -1, Share: after}}
	}
}

// OnLendFailed records that a request to the lender got no answer or could not
// be sent. The lender then gets no requests for unreachableBackoff.
func (m *Manager) OnLendFailed(now time.Time, lender string, id uint64) {
	m.borrower.Fail(lender, id)
	m.unreachableUntil[lender] = m.clock(now).Mono + unreachableBackoff
}

// Close returns all borrowed shares. It is the last call before the process
// ends, after Leave.
func (m *Manager) Close(now time.Time) []Action {
	at := m.clock(now)
	p := plan{returns: make(map[string][]Grant)}
	for _, name := range m.names {
		a := m.accounts[name]
		a.bucket.snapshot(at, *m.ownedUntil.Load(), &m.scratch, false)
		for _, l := range m.scratch.loans {
			tokens := a.bucket.shrinkLoan(at, *m.ownedUntil.Load(), l.lender, Share{})
			p.returns[l.lender] = append(p.returns[l.lender], Grant{Customer: a.name, Share: Share{Tokens: tokens}})
		}
	}
	return m.sendReturns(&p)
}
