package scatter

import "sync/atomic"

// Ratios of extra requests to first requests, and the number of extra requests
// that may be spent in a row.
const (
	// HedgeRatio and HedgeBurst limit hedges.
	HedgeRatio = 0.04
	HedgeBurst = 10
	// RetryRatio and RetryBurst limit retries after failures.
	RetryRatio = 0.10
	RetryBurst = 20
	// SnapshotRetryRatio and ReaskBurst limit requests repeated for another snapshot,
	// but for those that follow a request that did no work.
	SnapshotRetryRatio = 1.0
	SnapshotRetryBurst = 1000
	// HedgeShedCost, RetryShedCost and ReaskShedCost are the tokens that one shed
	// takes. A shed that is retried costs a retry more.
	HedgeShedCost         = 10
	RetryShedCost         = 2
	SnapshotRetryShedCost = 10
)

const tokenUnit = 1000 // thousandths of a token

// Budgets limits the extra requests to one service from this daemon. First
// requests earn tokens and extra requests spend them, as in the retry budgets
// of Finagle. A shed takes tokens and may leave a debt, so that hedges stop
// while more than 0.4 in 100 requests are shed, and retries while more than 5 in
// 100 are. Up to 3 in 100 every shed can be retried: a query over many shards
// would otherwise fail by a single busy replica.
//
// Budgets is shared by all queries of the service. Every method is an atomic
// operation without a lock.
type Budgets struct {
	hedge, retry, snapshotRetry bucket
}

// NewBudgets returns full budgets.
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

// chargeShed charges one shed request to every budget.
func (b *Budgets) chargeShed() {
	b.hedge.charge(HedgeShedCost * tokenUnit)
	b.retry.charge(RetryShedCost * tokenUnit)
	b.snapshotRetry.charge(SnapshotRetryShedCost * tokenUnit)
}

// take spends a token of the kind's budget. First requests are free.
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

// refund returns a token that was taken for a request that could not be sent.
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

// bucket is a token bucket that is filled by events instead of by time. Its debt
// is at most its limit.
type bucket struct {
	tokens      atomic.Int64
	earn, limit int64
}

// credit adds what n first requests of one query earn. A query to many shards
// may save more than the limit: half a token for each of its shards, since its
// hedges come together.
func (b *bucket) credit(n int64) {
	b.add(n*b.earn, max(b.limit, n*tokenUnit/2))
}

// add adds tokens up to a limit. Tokens above the limit stay.
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
