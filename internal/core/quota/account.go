package quota

import (
	"math"
	"time"
)

const (
	// headroom is the rate that a VM wants over its demand.
	headroom = 1.15
	// returnThreshold is the factor over its need at which a VM returns what it has
	// borrowed.
	returnThreshold = 1.3
	// exhaustedBackoff is the time for which a lender without spare isn't asked for
	// the same customer again.
	exhaustedBackoff = 500 * time.Millisecond
)

// account is the control goroutine's side of one customer.
type account struct {
	name           string
	bucket         *bucket
	layout         layout
	earlierLayouts []earlierLayout
	demand         demandWindow
	// need is what the VM wants to hold, from the last tick.
	need Share
	// exhaustedUntil holds until when a lender isn't asked for a larger share, and
	// empty until when it isn't asked for tokens, on the monotonic clock.
	exhaustedUntil map[string]time.Duration
	emptyUntil     map[string]time.Duration
	// spareReports is what lenders last said that they could spareReports.
	spareReports map[string]spareReport
	// largestBorrower is a VM that a lender without tokens has named.
	largestBorrower string
	// emptyRounds counts the rounds of fetching since the last token came.
	emptyRounds int
	// fetchBudget is the budget of messages that fetch tokens.
	fetchBudget messageBudget
}

// updateNeed works out the need from the demand. The capacity grows faster than the
// rate at first, because arrivals come in clusters.
func (a *account) updateNeed(shortfalls int64) {
	rate := a.rate()
	if rate <= 0 {
		a.need = Share{}
		return
	}
	if a.sparse() {
		a.need = Share{Capacity: min(2*micro, a.layout.limit.Capacity)}
		return
	}
	limit := a.layout.limit
	targetRate := rate * headroom * micro
	if shortfalls > 0 {
		targetRate *= headroom
	}
	a.need.Rate = min(int64(targetRate), limit.Rate)
	fraction := 0.0
	if limit.Rate > 0 {
		fraction = float64(a.need.Rate) / float64(limit.Rate)
	}
	capacity := int64(float64(limit.Capacity) * fraction)
	capacity = max(capacity, a.burstCapacity(rate))
	a.need.Capacity = min(capacity, limit.Capacity)
}

// dominant reports whether most of a customer's requests come to this VM, by the
// slow average.
func (a *account) dominant() bool {
	const fraction = 2
	return a.demand.slow*micro*fraction >= float64(a.layout.limit.Rate)
}

// sparse reports whether the VM fetches tokens one by one instead of borrowing a
// rate.
func (a *account) sparse() bool {
	return a.demand.sparse() && !a.dominant()
}

// rate is the demand that loans are sized by, in requests per second. The
// average of few arrivals varies much, so that a dominant VM wants all there is.
func (a *account) rate() float64 {
	if a.demand.sparse() && a.dominant() {
		return float64(a.layout.limit.Rate) / micro
	}
	return a.demand.rate()
}

// burstCapacity is room for the arrivals of one tick and their spread.
func (a *account) burstCapacity(rate float64) int64 {
	expected := rate * TickInterval.Seconds()
	const deviations = 3
	return int64((1 + expected + deviations*math.Sqrt(expected)) * micro)
}

// retainedShare is what an owner doesn't lend: its own need, and a reserve. Wishes for
// tokens may use the reserve of capacity.
func (a *account) retainedShare(own Share, forTokens bool) Share {
	retained := reserve(own).Max(a.need)
	if forTokens {
		retained.Capacity = 0
	}
	return retained
}

// retainedTokens is what a lender doesn't give away: its demand of one tick.
func (a *account) retainedTokens() int64 {
	if a.need.IsZero() {
		return 0
	}
	return int64(a.rate() * TickInterval.Seconds() * micro)
}

// tokenDeficit is what a VM would like to get that has the given tokens and the
// given arrivals since the last tick.
func (a *account) tokenDeficit(tokens, arrivals int64) int64 {
	target := min(max(arrivals, 1), sparseArrivals) * micro
	if !a.sparse() {
		target = a.burstCapacity(a.rate())
	}
	return max(target-tokens, 0)
}

// backoff is the time for which a customer fetches nothing after a round
// without a token. It doubles with each such round, so that a customer who is
// over its limit costs few messages.
func (a *account) backoff() time.Duration {
	const mostDoublings = 3
	const most = 500 * time.Millisecond
	a.emptyRounds = min(a.emptyRounds+1, mostDoublings)
	return min(a.refillWait()<<(a.emptyRounds-1), most)
}

// refillWait is the time for which a lender without tokens has none, as a rule.
func (a *account) refillWait() time.Duration {
	const least, most = 20 * time.Millisecond, 500 * time.Millisecond
	if a.layout.limit.Rate <= 0 {
		return most
	}
	const fraction = 4
	wait := time.Duration(float64(micro) / float64(a.layout.limit.Rate) / fraction * float64(time.Second))
	return min(max(wait, least), most)
}

// reserve is a fiftieth of the rate, for a first request, and a third of the
// capacity, as room for tokens that move.
func reserve(own Share) Share {
	const rateDivisor = 50
	const capacityDivisor = 3
	const small = 4 * micro
	if own.Capacity < small {
		return Share{}
	}
	return Share{Rate: own.Rate / rateDivisor, Capacity: own.Capacity / capacityDivisor}
}

func (a *account) isExhausted(now time.Duration, lender string) bool {
	until, ok := a.exhaustedUntil[lender]
	return ok && now < until
}

func (a *account) markExhausted(now time.Duration, lender string) {
	if a.exhaustedUntil == nil {
		a.exhaustedUntil = make(map[string]time.Duration)
	}
	a.exhaustedUntil[lender] = now + exhaustedBackoff
}
