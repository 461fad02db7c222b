package quota

import (
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// fetchRate is the number of messages per second that fetch tokens, and
	// fetchBurst the number that can be sent at once.
	fetchRate  = 60
	fetchBurst = 200
	// customerFetchRate and customerFetchBurst bound the messages for one
	// customer, so that a customer over its limit doesn't use up those of the
	// others.
	customerFetchRate  = 20
	customerFetchBurst = 60
)

// messageBudget is a token bucket that limits messages.
type messageBudget struct {
	remaining  float64
	refilledAt time.Duration
}

// available refills the budget and reports whether a message may be sent.
func (b *messageBudget) available(now time.Duration, rate, burst float64) bool {
	if now > b.refilledAt {
		b.remaining = min(b.remaining+(now-b.refilledAt).Seconds()*rate, burst)
		b.refilledAt = now
	}
	return b.remaining >= 1
}

// takeFetchBudget takes one message from the budgets of the VM and of the
// customer. It reports whether both had one.
func (m *Manager) takeFetchBudget(now time.Duration, a *account) bool {
	if !a.fetchBudget.available(now, customerFetchRate, customerFetchBurst) || !m.fetchBudget.available(now, fetchRate, fetchBurst) {
		return false
	}
	a.fetchBudget.remaining--
	m.fetchBudget.remaining--
	return true
}

// Fetch requests tokens from other VMs for customers whose requests found none
// since the last Tick. Call it soon after a Decision with ShouldFetch set, at
// most once every FetchRetryInterval.
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

// planFetch requests tokens from the lender with the highest estimated number,
// or from one of the VM's own zone that is estimated to be half full. An owner
// whose bucket is full loses the tokens that it accrues, so always using the
// nearest owner would waste a part of the rate. If there is no lender to use,
// the bucket refuses requests without waiting for a while.
func (m *Manager) planFetch(at membership.ClockReading, a *account, s *bucketState, p *plan) {
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

// chooseTokenLender returns the lender to request tokens from, if any, and
// whether lenders were skipped because a request to them is pending.
func (m *Manager) chooseTokenLender(at membership.ClockReading, a *account) (best possibleLender, busy bool) {
	var most int64
	for _, zone := range m.zones {
		if !slices.Contains(a.layout.zones, zone) {
			continue
		}
		for _, c := range m.lendersOf(at, zone, &a.layout) {
			if until, ok := a.noSpareTokensUntil[c.id]; ok && at.Mono < until {
				continue
			}
			if m.borrower.Pending(at, c.id, lendTimeout) {
				busy = true
				continue
			}
			tokens := a.estimatedTokens(at.Mono, c)
			if zone == m.params.Self.Zone && tokens >= c.assumedShare(&a.layout).Capacity/2 {
				return c, busy
			}
			if best.id == "" || tokens > most {
				best, most = c, tokens
			}
		}
	}
	return best, busy
}

// spareReport is the number of spare tokens that a lender last reported.
type spareReport struct {
	tokens int64
	at     time.Duration
}

// estimatedTokens estimates the lender's tokens at present. A lender that
// hasn't reported yet is assumed to be full.
func (a *account) estimatedTokens(now time.Duration, c possibleLender) int64 {
	nominal := c.assumedShare(&a.layout)
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

// fetchFromLargestBorrower requests tokens from the VM that has borrowed most,
// if there is room for them. It reports whether it did.
func (m *Manager) fetchFromLargestBorrower(at membership.ClockReading, a *account, s *bucketState, p *plan) bool {
	id := a.largestBorrower
	if id == "" || id == m.params.Self.ID || at.Mono < a.noSpareTokensUntil[id] || m.borrower.Pending(at, id, lendTimeout) {
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

// tokenRequest builds a request for tokens and for the capacity to hold them.
func (m *Manager) tokenRequest(a *account, s *bucketState, c possibleLender) lease.ShareRequest {
	held := loanOf(s, c.id)
	requested := held
	deficit := a.tokenDeficit(s.tokens, s.arrivals)
	if room := s.curve.Capacity - s.tokens; room < deficit {
		requested.Capacity = max(held.Capacity, min(held.Capacity+deficit-room, c.assumedShare(&a.layout).Capacity))
	}
	requested.Tokens = deficit
	return lease.ShareRequest{Customer: a.name, Requested: requested, Held: held}
}

// recordLargestBorrower stores the VM that a lender without tokens names.
func (a *account) recordLargestBorrower(lender, borrower string) {
	if borrower != "" || a.largestBorrower == lender {
		a.largestBorrower = borrower
	}
}

func (a *account) markNoSpareTokens(now time.Duration, lender string) {
	if a.noSpareTokensUntil == nil {
		a.noSpareTokensUntil = make(map[string]time.Duration)
	}
	a.noSpareTokensUntil[lender] = now + a.refillWait()
}

// hasShortfall reports whether a request found no token since the last tick.
func (b *bucket) hasShortfall() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shortfalls > 0
}
