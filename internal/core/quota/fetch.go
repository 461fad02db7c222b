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

// budget is a token bucket over messages.
type budget struct {
	left     float64
	filledAt time.Duration
}

// has refills the budget and reports whether a message is left.
func (b *budget) has(now time.Duration, rate, burst float64) bool {
	if now > b.filledAt {
		b.left = min(b.left+(now-b.filledAt).Seconds()*rate, burst)
		b.filledAt = now
	}
	return b.left >= 1
}

// mayFetch takes a message from the budgets of the VM and of the customer.
func (m *Manager) mayFetch(now time.Duration, a *account) bool {
	if !a.fetches.has(now, customerFetchRate, customerFetchBurst) || !m.fetches.has(now, fetchRate, fetchBurst) {
		return false
	}
	a.fetches.left--
	m.fetches.left--
	return true
}

// Fetch asks other VMs for tokens of the customers whose requests were short
// since the last Tick. It is due soon after a Decision with Fetch set, and at
// most every FetchPause.
func (m *Manager) Fetch(now time.Time) []Action {
	at := m.clock(now)
	p := plan{wants: make(map[string][]lease.ShareRequest)}
	for _, name := range m.names {
		a := m.accounts[name]
		if !a.bucket.short() {
			continue
		}
		a.bucket.read(at, *m.rights.Load(), &m.scratch, false)
		if m.scratch.tokens < micro {
			m.fetch(at, a, &m.scratch, &p)
		}
	}
	return m.sendWants(at, &p)
}

// fetch asks the lender that probably has most tokens, or one of the own zone
// that is half full. An owner whose bucket is full mints in vain, so that asking
// the nearest one always would waste a part of the rate. If there is none to
// ask, the bucket refuses without waiting for a while.
func (m *Manager) fetch(at membership.Reading, a *account, s *state, p *plan) {
	best, busy := m.fullest(at, a)
	if best.id == "" {
		if !m.askHolder(at, a, s, p) && !busy {
			a.bucket.setEmpty(at.Mono + a.backOff())
		}
		return
	}
	if !m.mayFetch(at.Mono, a) {
		a.bucket.setEmpty(at.Mono + a.emptyFor())
		return
	}
	p.add(best.id, m.tokenWant(a, s, best))
}

// fullest returns the lender to ask for tokens, if any, and whether some were
// left out because a request to them is under way.
func (m *Manager) fullest(at membership.Reading, a *account) (best candidate, busy bool) {
	var most int64
	for _, zone := range m.zones {
		if !slices.Contains(a.layout.zones, zone) {
			continue
		}
		for _, c := range m.lendersOf(at, zone, &a.layout) {
			if until, ok := a.empty[c.id]; ok && at.Mono < until {
				continue
			}
			if m.borrower.Pending(at, c.id, lendTimeout) {
				busy = true
				continue
			}
			tokens := a.probableTokens(at.Mono, c)
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

// spareTokens is what a lender last said that it could spare.
type spareTokens struct {
	tokens int64
	at     time.Duration
}

// probableTokens estimates what the lender has by now. One that was never asked
// is taken for full.
func (a *account) probableTokens(now time.Duration, c candidate) int64 {
	nominal := c.nominal(&a.layout)
	last, ok := a.spare[c.id]
	if !ok {
		return nominal.Capacity
	}
	gained := float64(nominal.Rate) * (now - last.at).Seconds()
	return min(last.tokens+int64(gained), nominal.Capacity)
}

func (a *account) learnSpare(now time.Duration, lender string, tokens int64) {
	if a.spare == nil {
		a.spare = make(map[string]spareTokens)
	}
	a.spare[lender] = spareTokens{tokens: tokens, at: now}
}

// askHolder asks a VM that has borrowed much, if there is room for its tokens.
func (m *Manager) askHolder(at membership.Reading, a *account, s *state, p *plan) bool {
	id := a.holder
	if id == "" || id == m.params.Self.ID || at.Mono < a.empty[id] || m.borrower.Pending(at, id, lendTimeout) {
		return false
	}
	wish := min(a.tokenWish(s.tokens, s.arrivals), s.curve.Capacity-s.tokens)
	if wish <= 0 || !m.mayFetch(at.Mono, a) {
		return false
	}
	have := loanOf(s, id)
	want := have
	want.Tokens = wish
	p.add(id, lease.ShareRequest{Customer: a.name, Requested: want, Held: have})
	return true
}

// tokenWant asks for tokens and for the room to keep them.
func (m *Manager) tokenWant(a *account, s *state, c candidate) lease.ShareRequest {
	have := loanOf(s, c.id)
	want := have
	wish := a.tokenWish(s.tokens, s.arrivals)
	if room := s.curve.Capacity - s.tokens; room < wish {
		want.Capacity = max(have.Capacity, min(have.Capacity+wish-room, c.nominal(&a.layout).Capacity))
	}
	want.Tokens = wish
	return lease.ShareRequest{Customer: a.name, Requested: want, Held: have}
}

// learnHolder notes the VM that a lender without tokens names.
func (a *account) learnHolder(lender, holder string) {
	if holder != "" || a.holder == lender {
		a.holder = holder
	}
}

func (a *account) setEmpty(now time.Duration, lender string) {
	if a.empty == nil {
		a.empty = make(map[string]time.Duration)
	}
	a.empty[lender] = now + a.emptyFor()
}

// short reports whether a request found no token since the last tick.
func (b *bucket) short() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shortfalls > 0
}
