package quota

import (
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// fetchRate is the number of messages a second that fetch tokens, and
	// fetchBurst the number at once.
	fetchRate  = 60
	fetchBurst = 200
	// customerFetchRate and customerFetchBurst bound those for one customer, so
	// that one who is over its limit doesn't use up the messages of the others.
	customerFetchRate  = 20
	customerFetchBurst = 60
)

// messageBudget is a token bucket over messages.
type messageBudget struct {
	remaining float64
	filledAt  time.Duration
}

// available refills the budget and reports whether a message is left.
func (b *messageBudget) available(now time.Duration, rate, burst float64) bool {
	if now > b.filledAt {
		b.remaining = min(b.remaining+(now-b.filledAt).Seconds()*rate, burst)
		b.filledAt = now
	}
	return b.remaining >= 1
}

// takeFetchBudget takes a message from the budgets of the VM and of the customer.
func (m *Manager) takeFetchBudget(now time.Duration, a *account) bool {
	if !a.fetchBudget.available(now, customerFetchRate, customerFetchBurst) || !m.fetchBudget.available(now, fetchRate, fetchBurst) {
		return false
	}
	a.fetchBudget.remaining--
	m.fetchBudget.remaining--
	return true
}

// Fetch asks other VMs for tokens of the customers whose requests were short
// since the last Tick. It is due soon after a Decision with Fetch set, and at
// most every FetchPause.
func (m *Manager) Fetch(now time.Time) []Action {
	at := m.clock(now)
	p := plan{requests: make(map[string][]lease.ShareRequest)}
	for _, name := range m.names {
		a := m.accounts[name]
		if !a.bucket.hasShortfall() {
			continue
		}
		a.bucket.snapshot(at, *m.ownedUntil.Load(), &m.scratch, false)
		if m.scratch.tokens < micro {
			m.planFetch(at, a, &m.scratch, &p)
		}
	}
	return m.sendRequests(at, &p)
}

// planFetch asks the lender that probably has most tokens, or one of the own zone
// that is half full. An owner whose bucket is full mints in vain, so that asking
// the nearest one always would waste a part of the rate. If there is none to
// ask, the bucket refuses without waiting for a while.
func (m *Manager) planFetch(at membership.Reading, a *account, s *bucketState, p *plan) {
	best, busy := m.chooseTokenLender(at, a)
	if best.id == "" {
		if !m.fetchFromLargestBorrower(at, a, s, p) && !busy {
			a.bucket.setNoTokensUntil(at.Mono + a.backoff())
		}
		return
	}
	if !m.takeFetchBudget(at.Mono, a) {
		a.bucket.setNoTokensUntil(at.Mono + a.refillWait())
		return
	}
	p.addRequest(best.id, m.tokenRequest(a, s, best))
}

// chooseTokenLender returns the lender to ask for tokens, if any, and whether some were
// left out because a request to them is under way.
func (m *Manager) chooseTokenLender(at membership.Reading, a *account) (best candidate, busy bool) {
	var most int64
	for _, zone := range m.zones {
		if !slices.Contains(a.layout.zones, zone) {
			continue
		}
		for _, c := range m.lendersOf(at, zone, &a.layout) {
			if until, ok := a.emptyUntil[c.id]; ok && at.Mono < until {
				continue
			}
			if m.borrower.Pending(at, c.id, lendTimeout) {
				busy = true
				continue
			}
			tokens := a.estimatedTokens(at.Mono, c)
			if zone == m.params.Self.Zone && tokens >= c.nominal(&a.layout).Capacity/2 {
				return c, busy
			}
			if best.id == "" || tokens > most {
				best, most = c, tokens
			}
		}
	}
	return best, busy
}

// spareReport is what a lender last said that it could spare.
type spareReport struct {
	tokens int64
	at     time.Duration
}

// estimatedTokens estimates what the lender has by now. One that was never asked
// is taken for full.
func (a *account) estimatedTokens(now time.Duration, c candidate) int64 {
	nominal := c.nominal(&a.layout)
	last, ok := a.spareReports[c.id]
	if !ok {
		return nominal.Capacity
	}
	gained := float64(nominal.Rate) * (now - last.at).Seconds()
	return min(last.tokens+int64(gained), nominal.Capacity)
}

func (a *account) recordSpare(now time.Duration, lender string, tokens int64) {
	if a.spareReports == nil {
		a.spareReports = make(map[string]spareReport)
	}
	a.spareReports[lender] = spareReport{tokens: tokens, at: now}
}

// fetchFromLargestBorrower asks a VM that has borrowed much, if there is room for its tokens.
func (m *Manager) fetchFromLargestBorrower(at membership.Reading, a *account, s *bucketState, p *plan) bool {
	id := a.largestBorrower
	if id == "" || id == m.params.Self.ID || at.Mono < a.emptyUntil[id] || m.borrower.Pending(at, id, lendTimeout) {
		return false
	}
	deficit := min(a.tokenDeficit(s.tokens, s.arrivals), s.curve.Capacity-s.tokens)
	if deficit <= 0 || !m.takeFetchBudget(at.Mono, a) {
		return false
	}
	held := loanOf(s, id)
	requested := held
	requested.Tokens = deficit
	p.addRequest(id, lease.ShareRequest{Customer: a.name, Requested: requested, Held: held})
	return true
}

// tokenRequest asks for tokens and for the room to keep them.
func (m *Manager) tokenRequest(a *account, s *bucketState, c candidate) lease.ShareRequest {
	held := loanOf(s, c.id)
	requested := held
	deficit := a.tokenDeficit(s.tokens, s.arrivals)
	if room := s.curve.Capacity - s.tokens; room < deficit {
		requested.Capacity = max(held.Capacity, min(held.Capacity+deficit-room, c.nominal(&a.layout).Capacity))
	}
	requested.Tokens = deficit
	return lease.ShareRequest{Customer: a.name, Requested: requested, Held: held}
}

// recordLargestBorrower notes the VM that a lender without tokens names.
func (a *account) recordLargestBorrower(lender, borrower string) {
	if borrower != "" || a.largestBorrower == lender {
		a.largestBorrower = borrower
	}
}

func (a *account) markEmpty(now time.Duration, lender string) {
	if a.emptyUntil == nil {
		a.emptyUntil = make(map[string]time.Duration)
	}
	a.emptyUntil[lender] = now + a.refillWait()
}

// hasShortfall reports whether a request found no token since the last tick.
func (b *bucket) hasShortfall() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shortfalls > 0
}
