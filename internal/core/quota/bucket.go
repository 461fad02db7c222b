package quota

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// noRateRetryAfter is the RetryAfter of a VM without a rate: it borrows one
	// in the next tick.
	noRateRetryAfter = 500 * time.Millisecond
	minRetryAfter    = time.Millisecond
	maxRetryAfter    = time.Minute
)

// bucket is one customer's token bucket on this VM. Traffic and control
// goroutines share it; mu is held for a few arithmetic operations only.
//
// The bucket's curve is the owned share, less the lent share, plus the borrowed
// shares. Tokens never exceed the curve's capacity: when a share is lent, its
// room for tokens goes with it, and a received share adds room but no tokens of
// its own.
type bucket struct {
	mu sync.Mutex
	// own is the share of the held slots. It counts only until ownedUntil,
	// which is passed to refill.
	own  Share
	lent Share
	// loans holds one entry for each lender, so it is short.
	loans  []loan
	tokens int64
	// remainder is the fraction of a micro-request that has accrued, in
	// micro-requests times nanoseconds per second.
	remainder  uint64
	refilledAt time.Duration
	// noTokensUntil is the time until which no VM is expected to have a token,
	// on the monotonic clock.
	noTokensUntil time.Duration
	// arrivals and shortfalls count since the last tick.
	arrivals   int64
	shortfalls int64
	admitted   uint64
	refused    uint64
}

// loan is the share borrowed from one lender, until its term ends.
type loan struct {
	lender string
	share  Share
	until  membership.ClockReading
}

// admit takes a token. A retry of a waiting request counts neither as an
// arrival nor as another refusal.
func (b *bucket) admit(now, ownedUntil membership.ClockReading, retry bool) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	curve := b.refill(now, ownedUntil)
	if !retry {
		b.arrivals++
	}
	if b.tokens >= micro {
		b.tokens -= micro
		b.admitted++
		if retry {
			b.refused--
		}
		return Decision{OK: true}
	}
	b.shortfalls++
	if !retry {
		b.refused++
	}
	return Decision{RetryAfter: b.retryAfter(curve), ShouldFetch: now.Mono >= b.noTokensUntil}
}

func (b *bucket) retryAfter(curve Share) time.Duration {
	if curve.Rate == 0 || curve.Capacity < micro {
		return noRateRetryAfter
	}
	missing := float64(micro - b.tokens)
	wait := time.Duration(missing / float64(curve.Rate) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// refill drops expired loans, adds the tokens accrued since the last call and
// returns the present curve. A share that expired in between accrues nothing,
// although it was valid for a part of that time.
func (b *bucket) refill(now, ownedUntil membership.ClockReading) Share {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
		return now.Reached(l.until)
	})
	curve := b.curve(now, ownedUntil)
	if now.Mono > b.refilledAt {
		b.accrue(curve.Rate, now.Mono-b.refilledAt)
		b.refilledAt = now.Mono
	}
	b.clamp(curve)
	return curve
}

func (b *bucket) curve(now, ownedUntil membership.ClockReading) Share {
	var c Share
	if !now.Reached(ownedUntil) {
		c = b.own.Minus(b.lent)
	}
	for i := range b.loans {
		c.Rate += b.loans[i].share.Rate
		c.Capacity += b.loans[i].share.Capacity
	}
	return c
}

func (b *bucket) clamp(curve Share) {
	if b.tokens >= curve.Capacity {
		b.tokens = curve.Capacity
		b.remainder = 0
	}
	invariant.Check(b.tokens >= 0 && b.tokens <= curve.Capacity, "quota_tokens_within_capacity")
}

// accrue adds rate times elapsed, rounded down; the fraction is kept for the
// next call.
func (b *bucket) accrue(rate int64, elapsed time.Duration) {
	const longest = time.Hour
	elapsed = min(elapsed, longest)
	hi, lo := bits.Mul64(uint64(rate), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		return
	}
	accrued, remainder := bits.Div64(hi, lo, uint64(time.Second))
	const most = 1 << 61
	b.tokens += int64(min(accrued, most))
	b.remainder = remainder
}

// setOwn changes the owned share after accruing tokens at the previous rate.
func (b *bucket) setOwn(now, ownedUntil membership.ClockReading, own Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, ownedUntil)
	b.own = own
	b.clamp(b.curve(now, ownedUntil))
}

// setLent changes the lent share.
func (b *bucket) setLent(now, ownedUntil membership.ClockReading, lent Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, ownedUntil)
	b.lent = lent
	b.clamp(b.curve(now, ownedUntil))
}

// lend sets the lent share, which grew by growth, and removes the tokens that
// go to the borrower: those that no longer fit, or up to requested of those
// above retained if that is more. It returns the tokens removed and the spare
// tokens that remain.
func (b *bucket) lend(now, ownedUntil membership.ClockReading, lent, growth Share, requested, retained int64) (moved, spare int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, ownedUntil)
	b.lent = lent
	after := b.curve(now, ownedUntil)
	moved = min(max(b.tokens-after.Capacity, 0), growth.Capacity)
	moved = max(moved, min(requested, b.tokens-retained), 0)
	b.tokens -= moved
	b.clamp(after)
	return moved, max(b.tokens-retained, 0)
}

// takeTokens removes and returns the tokens that belong to the given part of
// the curve's capacity.
func (b *bucket) takeTokens(now, ownedUntil membership.ClockReading, capacity int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	curve := b.refill(now, ownedUntil)
	if curve.Capacity == 0 {
		return 0
	}
	moved := mulDiv(b.tokens, min(capacity, curve.Capacity), curve.Capacity)
	b.tokens -= moved
	return moved
}

// setNoTokensUntil sets the time until which no VM is expected to have a token.
func (b *bucket) setNoTokensUntil(until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noTokensUntil = until
}

// setLoan replaces the loan of a lender; a zero share removes it. It returns
// the previous share.
func (b *bucket) setLoan(now, ownedUntil membership.ClockReading, lender string, share Share, until membership.ClockReading) Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, ownedUntil)
	before := b.replaceLoan(lender, share.Curve(), until)
	b.tokens += share.Tokens
	b.clamp(b.curve(now, ownedUntil))
	return before
}

func (b *bucket) replaceLoan(lender string, share Share, until membership.ClockReading) Share {
	i := slices.IndexFunc(b.loans, func(l loan) bool { return l.lender == lender })
	switch {
	case i < 0 && share.IsZero():
		return Share{}
	case i < 0:
		b.loans = append(b.loans, loan{lender: lender, share: share, until: until})
		return Share{}
	}
	before := b.loans[i].share
	if share.IsZero() {
		b.loans = slices.Delete(b.loans, i, i+1)
		return before
	}
	b.loans[i].share, b.loans[i].until = share, until
	return before
}

// shrinkLoan reduces a loan to remaining and returns the tokens that go back
// with the difference.
func (b *bucket) shrinkLoan(now, ownedUntil membership.ClockReading, lender string, remaining Share) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.refill(now, ownedUntil)
	i := slices.IndexFunc(b.loans, func(l loan) bool { return l.lender == lender })
	if i < 0 {
		return 0
	}
	returned := b.loans[i].share.Minus(remaining)
	until := b.loans[i].until
	b.replaceLoan(lender, remaining.Min(b.loans[i].share), until)
	if before.Capacity == 0 {
		return 0
	}
	moved := mulDiv(b.tokens, returned.Capacity, before.Capacity)
	b.tokens -= moved
	b.clamp(b.curve(now, ownedUntil))
	return moved
}

// addTokens adds returned tokens, as far as there is room.
func (b *bucket) addTokens(now, ownedUntil membership.ClockReading, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	curve := b.refill(now, ownedUntil)
	b.tokens += max(tokens, 0)
	b.clamp(curve)
}

// bucketState is a copy of a bucket for the control goroutine.
type bucketState struct {
	curve, own, lent     Share
	loans                []loan
	tokens               int64
	arrivals, shortfalls int64
	admitted, refused    uint64
}

// snapshot refills the bucket and copies its state into s, whose loans slice is
// reused. With reset, the arrivals and shortfalls are counted from 0 again.
func (b *bucket) snapshot(now, ownedUntil membership.ClockReading, s *bucketState, reset bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.curve = b.refill(now, ownedUntil)
	s.own, s.lent = Share{}, b.lent
	if !now.Reached(ownedUntil) {
		s.own = b.own
	}
	s.loans = append(s.loans[:0], b.loans...)
	s.tokens = b.tokens
	s.arrivals, s.shortfalls = b.arrivals, b.shortfalls
	s.admitted, s.refused = b.admitted, b.refused
	if reset {
		b.arrivals, b.shortfalls = 0, 0
	}
}

// mulDiv returns a*b/c rounded down, for a, b >= 0, c > 0 and b <= c.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}
