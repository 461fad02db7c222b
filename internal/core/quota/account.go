package quota

import (
	"math"
	"time"
)

const (
	// demandMargin is the multiple of its demand that a VM requests.
	demandMargin = 1.15
	// returnThreshold is the factor over its need above which a VM returns
	// borrowed shares.
	returnThreshold = 1.3
	// noSpareRateBackoff is how long a lender without spare rate gets no request
	// for a larger share of the same customer's limit.
	noSpareRateBackoff = 500 * time.Millisecond
)

// account is one customer's state on the control goroutine.
type account struct {
	name           string
	bucket         *bucket
	layout         layout
	earlierLayouts []earlierLayout
	demand         demandWindow
	// need is the share that the VM aims to hold, as of the last tick.
	need Share
	// noSpareRateUntil holds, by lender, until when no larger share is
	// requested, and noSpareTokensUntil until when no tokens are, on the
	// monotonic clock.
	noSpareRateUntil   map[string]time.Duration
	noSpareTokensUntil map[string]time.Duration
	// spareReports holds each lender's last report of its spare tokens.
	spareReports map[string]spareReport
	// largestBorrower is the VM that a lender without tokens last named.
	largestBorrower string
	// roundsWithoutToken counts the rounds of fetching without a token.
	roundsWithoutToken int
	// fetchBudget bounds the messages that fetch tokens.
	fetchBudget messageBudget
}

// updateNeed derives the need from the demand. At low rates, capacity grows
// faster than the rate because arrivals are bursty.
func (a *account) updateNeed(shortfalls int64) {
	rate := a.rate()
	if rate <= 0 {
		a.need = Share{}
		return
	}
	if a.fetchesSingleTokens() {
		a.need = Share{Capacity: min(2*micro, a.layout.limit.Capacity)}
		return
	}
	limit := a.layout.limit
	targetRate := rate * demandMargin * micro
	if shortfalls > 0 {
		targetRate *= demandMargin
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

// receivesHalfOfLimit reports whether the customer's requests arrive at this VM
// at half of the limit's rate or more, by the slow average.
func (a *account) receivesHalfOfLimit() bool {
	const fraction = 2
	return a.demand.slow*micro*fraction >= float64(a.layout.limit.Rate)
}

// fetchesSingleTokens reports whether the VM fetches single tokens instead of
// borrowing a rate.
func (a *account) fetchesSingleTokens() bool {
	return a.demand.sparse() && !a.receivesHalfOfLimit()
}

// rate is the demand that loans are sized for, in requests per second. The
// average over few arrivals varies widely, so a VM with sparse demand that
// nevertheless receives half of the limit requests the whole limit.
func (a *account) rate() float64 {
	if a.demand.sparse() && a.receivesHalfOfLimit() {
		return float64(a.layout.limit.Rate) / micro
	}
	return a.demand.rate()
}

// burstCapacity is the capacity for the expected arrivals of one tick plus
// three standard deviations.
func (a *account) burstCapacity(rate float64) int64 {
	expected := rate * TickInterval.Seconds()
	const deviations = 3
	return int64((1 + expected + deviations*math.Sqrt(expected)) * micro)
}

// retainedShare is the share that an owner doesn't lend: the larger of its own
// need and a reserve. Requests for tokens may use the whole capacity.
func (a *account) retainedShare(own Share, forTokens bool) Share {
	retained := reserve(own).Max(a.need)
	if forTokens {
		retained.Capacity = 0
	}
	return retained
}

// retainedTokens is the VM's demand of one tick, in tokens. A lender keeps as
// many, and Tick fetches tokens if the VM has fewer.
func (a *account) retainedTokens() int64 {
	if a.need.IsZero() {
		return 0
	}
	return int64(a.rate() * TickInterval.Seconds() * micro)
}

// tokenDeficit is the number of tokens that a VM lacks, given its tokens and
// its arrivals since the last tick.
func (a *account) tokenDeficit(tokens, arrivals int64) int64 {
	target := min(max(arrivals, 1), sparseArrivals) * micro
	if !a.fetchesSingleTokens() {
		target = a.burstCapacity(a.rate())
	}
	return max(target-tokens, 0)
}

// backoff is how long a customer's tokens aren't fetched after a round without
// a token. It doubles with each such round, so that a customer over its limit
// causes few messages.
func (a *account) backoff() time.Duration {
	const mostDoublings = 3
	const most = 500 * time.Millisecond
	a.roundsWithoutToken = min(a.roundsWithoutToken+1, mostDoublings)
	return min(a.refillWait()<<(a.roundsWithoutToken-1), most)
}

// refillWait is how long a lender without tokens gets no request for tokens: a
// quarter of the time in which the whole limit accrues one token, within
// bounds.
func (a *account) refillWait() time.Duration {
	const least, most = 20 * time.Millisecond, 500 * time.Millisecond
	if a.layout.limit.Rate <= 0 {
		return most
	}
	const fraction = 4
	wait := time.Duration(float64(micro) / float64(a.layout.limit.Rate) / fraction * float64(time.Second))
	return min(max(wait, least), most)
}

// reserve is the share that an owner holds back: a fiftieth of the rate, for a
// first request, and a third of the capacity, as room for tokens that are
// moved. An owner with a capacity below four requests holds back nothing.
func reserve(own Share) Share {
	const rateDivisor = 50
	const capacityDivisor = 3
	const small = 4 * micro
	if own.Capacity < small {
		return Share{}
	}
	return Share{Rate: own.Rate / rateDivisor, Capacity: own.Capacity / capacityDivisor}
}

func (a *account) lacksSpareRate(now time.Duration, lender string) bool {
	until, ok := a.noSpareRateUntil[lender]
	return ok && now < until
}

func (a *account) markNoSpareRate(now time.Duration, lender string) {
	if a.noSpareRateUntil == nil {
		a.noSpareRateUntil = make(map[string]time.Duration)
	}
	a.noSpareRateUntil[lender] = now + noSpareRateBackoff
}
