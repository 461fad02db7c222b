package upstreamhttp

import (
	"errors"
	"io"
	"math"
	"sync/atomic"
)

// ErrOverMemory is the error of a response for which the memory of all responses leaves no
// room.
var ErrOverMemory = errors.New("upstreamhttp: the responses of all upstreams take too much memory")

const (
	// freeBytes is the size up to which a response isn't counted, so that long ones don't
	// crowd out those of other upstreams.
	freeBytes = 16 << 10
	// growthFactor is the memory of a body of unknown length, as a multiple of what has been
	// read of it: its buffer doubles when it is full.
	growthFactor = 2
	// chargeStep is the least memory that is taken at a time.
	chargeStep = 32 << 10
)

// Memory bounds the memory of the responses of all pools that share it, from when they are
// read until they are released. It is safe for concurrent use.
type Memory struct {
	limit  int64
	used   atomic.Int64
	ledger Ledger
}

// Ledger bounds the memory of responses together with that of others.
type Ledger interface {
	// AcquireResponse takes n bytes, for which it may wait. It returns false if there is no
	// room.
	AcquireResponse(n int64) bool
	// ReleaseResponse returns n bytes.
	ReleaseResponse(n int64)
}

// NewSharedMemory returns a bound that a ledger decides on.
func NewSharedMemory(ledger Ledger) *Memory { return &Memory{limit: math.MaxInt64, ledger: ledger} }

// acquire takes n bytes. It returns false if there is no room.
func (m *Memory) acquire(n int64) bool {
	if m.used.Add(n) > m.limit || m.ledger != nil && !m.ledger.AcquireResponse(n) {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *Memory) release(n int64) {
	if n == 0 {
		return
	}
	m.used.Add(-n)
	if m.ledger != nil {
		m.ledger.ReleaseResponse(n)
	}
}

// NewMemory returns a bound in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Used returns the number of bytes that are in use.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// charge is what one response has taken of a Memory, which may be nil.
type charge struct {
	memory *Memory
	bytes  int64
}

// raise raises the charge to a response of n bytes. It returns false if there is no room.
func (c *charge) raise(n int64) bool {
	more := n - freeBytes - c.bytes
	if c.memory == nil || more <= 0 {
		return true
	}
	more = max(more, chargeStep)
	if !c.memory.acquire(more) {
		return false
	}
	c.bytes += more
	return true
}

// release returns the charge. It may be called more than once.
func (c *charge) release() {
	if c.memory != nil {
		c.memory.release(c.bytes)
	}
	c.bytes = 0
}

// meter charges for the bytes of a body of unknown length as they are read.
type meter struct {
	r       io.Reader
	charge  *charge // nil unless such a body is being read
	read    int64
	refused bool
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if m.charge == nil {
		return n, err
	}
	if m.read += int64(n); !m.charge.raise(growthFactor * m.read) {
		m.refused = true
		return 0, ErrOverMemory
	}
	return n, err
}
