package quota

import (
	"slices"
	"strings"
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// lendTimeout is the time after which an unanswered request is canceled.
	lendTimeout = 300 * time.Millisecond
	// unreachableBackoff is how long an unreachable lender gets no requests.
	unreachableBackoff = time.Second
	// renewBefore is the remaining term at which a loan is renewed.
	renewBefore = 1200 * time.Millisecond
	// maxNewLenders bounds the further lenders that get a request for one
	// customer in one tick.
	maxNewLenders = 4
)

// plan collects one tick's messages by lender.
type plan struct {
	requests map[string][]lease.ShareRequest
	returns  map[string][]Grant
}

// borrow updates each customer's need, and requests, renews or returns shares.
func (m *Manager) borrow(now time.Time, at membership.Reading) []Action {
	p := plan{requests: make(map[string][]lease.ShareRequest), returns: make(map[string][]Grant)}
	clear(m.lenderCache)
	for _, name := range m.names {
		a := m.accounts[name]
		s := &m.scratch
		a.bucket.snapshot(at, *m.ownedUntil.Load(), s, true)
		a.demand.add(s.arrivals)
		if a.demand.idle() && !a.dominant() && len(s.loans) == 0 {
			a.need = Share{}
			continue
		}
		a.updateNeed(s.shortfalls)
		m.returnExcess(at, a, s, &p)
		m.renewLoans(at, s, &p, a)
		if !a.sparse() {
			m.borrowMissing(at, a, s, &p)
		}
		if s.tokens < a.retainedTokens() {
			m.planFetch(at, a, s, &p)
		}
	}
	out := m.sendReturns(&p)
	return append(out, m.sendRequests(at, &p)...)
}

// returnExcess returns loans, the most recently started first, while the VM
// holds more than returnThreshold times its need.
func (m *Manager) returnExcess(at membership.Reading, a *account, s *bucketState, p *plan) {
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
		entry := remaining
		entry.Tokens = tokens
		p.returns[l.lender] = append(p.returns[l.lender], Grant{Customer: a.name, Share: entry})
	}
}

// renewLoans requests an extension of loans that end soon.
func (m *Manager) renewLoans(at membership.Reading, s *bucketState, p *plan, a *account) {
	for _, l := range s.loans {
		if l.share.IsZero() || !at.Add(renewBefore).Reached(l.until) {
			continue
		}
		p.addRequest(l.lender, lease.ShareRequest{Customer: a.name, Requested: l.share, Held: l.share})
	}
}

// borrowMissing requests the missing share from further lenders, those of the
// VM's own zone first.
func (m *Manager) borrowMissing(at membership.Reading, a *account, s *bucketState, p *plan) {
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
			if missing.IsZero() || requested == maxNewLenders {
				return
			}
			if a.isExhausted(at.Mono, c.id) || m.borrower.Pending(at, c.id, lendTimeout) {
				continue
			}
			held := loanOf(s, c.id)
			extra := missing.Min(c.nominal(&a.layout).Minus(held))
			if extra.IsZero() {
				continue
			}
			p.addRequest(c.id, lease.ShareRequest{Customer: a.name, Requested: held.Plus(extra), Held: held})
			missing = missing.Minus(extra)
			requested++
		}
	}
}

// candidate is a VM that may be able to lend.
type candidate struct {
	id string
	// slots is the number of the customer's slots that it probably holds.
	slots int64
}

// nominal is the largest share of the customer's limit that the candidate can
// own.
func (c candidate) nominal(l *layout) Share {
	return Share{Rate: l.share.Rate * c.slots, Capacity: l.share.Capacity * c.slots}
}

// lenderKey identifies a set of candidates; customers with the same key share
// it.
type lenderKey struct {
	zone         string
	first, slots int
}

// lendersOf returns the VMs that probably hold the customer's slots of a zone.
// The result is cached until the next tick.
func (m *Manager) lendersOf(at membership.Reading, zone string, l *layout) []candidate {
	key := lenderKey{zone: zone, first: l.first, slots: l.slots}
	out, ok := m.lenderCache[key]
	if !ok {
		out = m.findLenders(at, zone, l)
		m.lenderCache[key] = out
	}
	return out
}

func (m *Manager) findLenders(at membership.Reading, zone string, l *layout) []candidate {
	owners := m.slotCandidates[zone]
	var out []candidate
	for slot := range owners {
		if !l.hasSlot(zone, slot) {
			continue
		}
		id := m.probableOwner(at, owners[slot])
		if id == "" {
			continue
		}
		i := slices.IndexFunc(out, func(c candidate) bool { return c.id == id })
		if i < 0 {
			i = len(out)
			out = append(out, candidate{id: id})
		}
		out[i].slots++
	}
	return out
}

// probableOwner returns the first candidate that is reachable and may hold a
// slot, or "" if that is this VM or there is none.
func (m *Manager) probableOwner(at membership.Reading, candidates []membership.VM) string {
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
// customer. Customers are planned one after the other, so the earlier one is
// the last.
func (p *plan) addRequest(lender string, w lease.ShareRequest) {
	requests := p.requests[lender]
	last := len(requests) - 1
	if last < 0 || requests[last].Customer != w.Customer {
		p.requests[lender] = append(requests, w)
		return
	}
	tokens := max(requests[last].Requested.Tokens, w.Requested.Tokens)
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

func (m *Manager) sendRequests(at membership.Reading, p *plan) []Action {
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

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// OnLendResponse processes the answer of the lender with the given VM ID.
// Duplicate, outdated and expired answers are ignored.
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
			a.markExhausted(at.Mono, lender)
		}
		if g.Share.Tokens >= micro {
			a.emptyRounds = 0
		}
		a.recordSpare(at.Mono, lender, g.SpareTokens)
		if g.SpareTokens < micro {
			a.markEmpty(at.Mono, lender)
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
		return []Action{Audit{At: now, Event: EventBorrowed, Customer: customer, Peer: lender, Slot: -1, Share: after}}
	}
}

// OnLendFailed records that a request to the lender got no answer.
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
