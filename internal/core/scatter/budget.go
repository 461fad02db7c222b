package scatter

import "sync/atomic"

// Ratios of extra attempts to first requests, and the number of extra attempts
// that may be sent in a row.
const (
	// HedgeRatio and HedgeBurst limit hedges.
	HedgeRatio = 0.04
	HedgeBurst = 10
	// RetryRatio and RetryBurst limit retries after failures.
	RetryRatio = 0.10
	RetryBurst = 20
	// SnapshotRetryRatio and SnapshotRetryBurst limit retries for another
	// snapshot, except those after a replica rejected the request without
	// running it.
	SnapshotRetryRatio = 1.0
	SnapshotRetryBurst = 1000
	// HedgeShedCost, RetryShedCost and SnapshotRetryShedCost are the tokens
	// that one shed request costs each budget. Retrying it costs a retry token
	// in addition.
	HedgeShedCost         = 10
	RetryShedCost         = 2
	SnapshotRetryShedCost = 10
)

const tokenUnit = 1000 // thousandths of a token

// Budgets limits the extra attempts at one service from this daemon. First
// requests earn tokens and extra attempts spend them, as in the retry budgets
// of Finagle. A shed request costs tokens and may leave a debt, so that hedges
// stop while more than 0.4% of the requests are shed, and retries while more
// than 5% are. While at most 3% are shed, every one of them can be retried;
// otherwise a single busy replica would fail a query over many shards.
//
// Budgets is shared by all queries of the service. Every method is lock-free.
type Budgets struct {
	hedge, retry, snapshotRetry bucket
}

// NewBudgets returns budgets with full buckets.
func NewBudgets() *Budgets {
	b := &Budgets{
		hedge:         bucket{earn: HedgeRatio * tokenUnit, limit: HedgeBurst * tokenUnit},
		retry:         bucket{earn: RetryRatio * tokenUnit, limit: RetryBurst * tokenUnit},
		snapshotRetry: bucket{earn: SnapshotRetryRatio * tokenUnit, limit: SnapshotRetryBurst * tokenUnit},
	}
	b.hedge.tokens.Store(b.hedge.limit)
	b.retry.tokens.Store(b.retry.limit)
	b.snapshotRetry.tokens.Store(b.snapshotRetry.limit)
	return b
}

// earn credits n first requests.
func (b *Budgets) earn(n int) {
	b.hedge.credit(int64(n))
	b.retry.credit(int64(n))
	b.snapshotRetry.credit(int64(n))
}

// chargeShed charges every budget for one shed request.
func (b *Budgets) chargeShed() {
	b.hedge.charge(HedgeShedCost * tokenUnit)
	b.retry.charge(RetryShedCost * tokenUnit)
	b.snapshotRetry.charge(SnapshotRetryShedCost * tokenUnit)
}

// take spends a token of the kind's budget and reports whether there was one.
// First requests are free.
func (b *Budgets) take(k kind) bool {
	switch k {
	case kindHedge:
		return b.hedge.take()
	case kindRetry:
		return b.retry.take()
	case kindSnapshotRetry:
		return b.snapshotRetry.take()
	}
	return true
}

// refund returns a token that was taken for an attempt that was not sent or did
// no work.
func (b *Budgets) refund(k kind) {
	switch k {
	case kindHedge:
		b.hedge.add(tokenUnit, b.hedge.limit)
	case kindRetry:
		b.retry.add(tokenUnit, b.retry.limit)
	case kindSnapshotRetry:
		b.snapshotRetry.add(tokenUnit, b.snapshotRetry.limit)
	}
}

// bucket is a token bucket that is refilled by events instead of by time. Its
// debt never exceeds its limit.
type bucket struct {
	tokens      atomic.Int64
	earn, limit int64
}

// credit adds the tokens earned by n first requests of one query. The hedges of
// a query over many shards come at the same time, so such a query may raise the
// tokens above the limit, to half a token for each of its shards.
func (b *bucket) credit(n int64) {
	b.add(n*b.earn, max(b.limit, n*tokenUnit/2))
}

// add adds tokens up to a limit. Tokens already above the limit are kept.
func (b *bucket) add(n, limit int64) {
	for {
		old := b.tokens.Load()
		sum := max(old, min(old+n, limit))
		if sum == old || b.tokens.CompareAndSwap(old, sum) {
			return
		}
	}
}

func (b *bucket) charge(n int64) {
	for {
		old := b.tokens.Load()
		left := max(old-n, -b.limit)
		if left == old || b.tokens.CompareAndSwap(old, left) {
			return
		}
	}
}

func (b *bucket) take() bool {
	for {
		old := b.tokens.Load()
		if old < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenUnit) {
			return true
		}
	}
}
