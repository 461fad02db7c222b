// Package upstream manages the connections to upstreams and runs attempts on
// them. The protocol is described in docs/UPSTREAM.md. `ryecourse serve` uses it;
// the gateway uses package upstreamhttp.
//
// Each connection has one reader goroutine and carries one request at a time.
// The goroutine that starts an attempt writes a small request itself; the
// reader parses the response and delivers the result. The reader also detects
// at once when the upstream closes an idle connection, so that no request is
// sent on a connection known to be closed. The package never retries.
package upstream

import (
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxDials bounds the connections that are being opened at a time.
	maxDials = 256
	// maxSends bounds the large requests that are being written at a time.
	maxSends = 64
	// inlineWriteBytes is the largest body that is written by the goroutine
	// that starts the attempt. It fits an empty socket buffer, so the write
	// doesn't block.
	inlineWriteBytes = 16 << 10
	// minRestartTime is the shortest time that an upstream is assumed to need
	// for a restart.
	minRestartTime = 5 * time.Millisecond
	// maxResponseBytes bounds the body of one response.
	maxResponseBytes = 16 << 20
	// readBufferBytes is the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// Stats holds the counters of a pool. The fields are atomic.
type Stats struct {
	Dials, DialErrors, Requests, Mismatches, ConnectionsLost, Canceled counter
	// OverMemory counts responses for which there was no memory.
	OverMemory counter
}

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	// Stats may be read at any time.
	Stats Stats

	// onLost is the argument of NewPool, or nil.
	onLost func(addr string)

	dials pond.Pool
	sends pond.Pool

	mu    sync.RWMutex
	hosts map[string]*host
}

// NewPool returns an empty pool. onLost, if set, is called when an upstream has
// closed the last connection of this VM, before another one is opened. It is also
// called when an attempt is not sent because the upstream may have restarted
// while no connection was open. It must not block and must not call into the
// pool.
func NewPool(onLost func(addr string)) *Pool {
	return &Pool{
		onLost: onLost,
		dials:  pond.NewPool(maxDials),
		sends:  pond.NewPool(maxSends),
		hosts:  make(map[string]*host),
	}
}

// Limit is the number of connections to an upstream that this VM may hold.
type Limit struct {
	Address string
	// Max is the largest number of connections. With 0, idle connections are
	// closed and none are opened.
	Max int
	// MinOpen is the number of connections to open in advance, before a call
	// needs them.
	MinOpen int
}

// SetLimits sets the connection limits. For an upstream that is not listed,
// running requests continue, idle connections are closed and no new ones are
// opened.
func (p *Pool) SetLimits(limits []Limit) {
	listed := make(map[string]Limit, len(limits))
	for _, l := range limits {
		listed[l.Address] = l
		p.host(l.Address).setLimit(l.Max, l.MinOpen)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		if _, ok := listed[addr]; ok {
			continue
		}
		h.setLimit(0, 0)
		if h.unused() {
			delete(p.hosts, addr)
		}
	}
}

// Close closes the idle connections and stops opening new ones.
func (p *Pool) Close() {
	p.SetLimits(nil)
	p.dials.Stop()
	p.sends.Stop()
}

// Connections returns the number of connections to the address that are open or
// being opened.
func (p *Pool) Connections(addr string) int {
	h := p.host(addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

func (p *Pool) host(addr string) *host {
	p.mu.RLock()
	h := p.hosts[addr]
	p.mu.RUnlock()
	if h != nil {
		return h
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h = p.hosts[addr]; h == nil {
		h = &host{pool: p, addr: addr}
		p.hosts[addr] = h
	}
	return h
}

// Start starts an attempt. Its result is delivered exactly once, on another
// goroutine or on this one.
func (p *Pool) Start(c *Call) {
	c.host = p.host(c.Attempt.Target.Address)
	c.started = time.Now()
	p.Stats.Requests.Inc()
	c.scheduleExpiry()
	c.host.start(c)
}
