// Package respbody reads the bodies of responses and bounds what they hold together, whatever
// is announced or sent: bodies of upstreams, of other VMs and of stores. `ryecourse serve` and
// `ryecourse gateway` use it for all that they call.
//
// A response is charged for the capacity of its buffer before that is allocated. A buffer of a
// stated length is allocated at once; the others grow as bytes arrive.
package respbody

import (
	"errors"
	"math"
	"sync/atomic"
)

// ErrOverMemory is the error of a response for which the memory of all responses leaves no
// room.
var ErrOverMemory = errors.New("the responses that this process reads take too much memory")

// FreeBytes is the size up to which a response isn't charged, so that long ones don't crowd out
// those of other upstreams. Connections bound the number of such responses.
const FreeBytes = 16 << 10

// Account is charged for the memory of responses. It is safe for concurrent use.
type Account interface {
	// AcquireResponse takes n bytes, for which it may wait. It returns false if there is no
	// room.
	AcquireResponse(n int64) bool
	// ReleaseResponse returns n bytes.
	ReleaseResponse(n int64)
}

// Memory is an account with a limit. It may draw on another account, too. It is safe for
// concurrent use.
type Memory struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
	account Account // nil for none
}

// NewMemory returns an account of a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// NewSharedMemory returns an account without a limit of its own, which draws on another one.
func NewSharedMemory(account Account) *Memory { return &Memory{limit: math.MaxInt64, account: account} }

// Part returns an account of a limit that draws on m, too.
func (m *Memory) Part(limit int64) *Memory { return &Memory{limit: limit, account: m} }

// AcquireResponse implements Account.
func (m *Memory) AcquireResponse(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		m.refused.Add(1)
		return false
	}
	if m.account != nil && !m.account.AcquireResponse(n) {
		m.used.Add(-n)
		return false
	}
	return true
}

// ReleaseResponse implements Account.
func (m *Memory) ReleaseResponse(n int64) {
	m.used.Add(-n)
	if m.account != nil {
		m.account.ReleaseResponse(n)
	}
}

// Used returns the number of bytes that are in use.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// Refused returns how often its limit left no room.
func (m *Memory) Refused() int64 { return m.refused.Load() }

// Charge is what one response has taken of an account. Without an account it has no limit.
type Charge struct {
	account Account
	bytes   int64
}

// NewCharge returns a charge of 0 bytes; account may be nil.
func NewCharge(account Account) Charge { return Charge{account: account} }

// Resize sets the charge to that of a response that holds n bytes. It returns false, and leaves
// the charge as it is, if there is no room.
func (c *Charge) Resize(n int64) bool {
	if c.account == nil {
		return true
	}
	more := max(n-FreeBytes, 0) - c.bytes
	switch {
	case more > 0 && !c.account.AcquireResponse(more):
		return false
	case more < 0:
		c.account.ReleaseResponse(-more)
	}
	c.bytes += more
	return true
}

// Release returns the charge. It may be called more than once.
func (c *Charge) Release() { c.Resize(0) }
