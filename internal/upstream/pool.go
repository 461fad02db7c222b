// Package upstream holds the connections to upstreams and runs attempts on
// them. The protocol is in docs/UPSTREAM.md.
//
// Each connection has one reader goroutine and carries one request at a time.
// The goroutine that starts an attempt writes the request itself; the reader
// parses the answer and delivers the result. The reader also notices at once
// when the upstream closes an idle connection, so that a request is not sent on
// a connection known to be closed. The package never retries.
package upstream

import (
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxDials is the number of connections opened at a time.
	maxDials = 256
	// maxSends is the number of large requests written at a time.
	maxSends = 64
	// inlineWriteBytes is the largest request that the caller's goroutine writes
	// itself. It fits an empty socket buffer, so the write doesn't block.
	inlineWriteBytes = 16 << 10
	// minRestartTime is the shortest time in which an upstream is taken to restart.
	minRestartTime = 5 * time.Millisecond
	// maxResponseBytes bounds one upstream's answer.
	maxResponseBytes = 16 << 20
	// readBufferBytes is the read buffer of a connection.
	readBufferBytes = 4 << 10
)

// Stats counts what the pool saw. The fields are atomic counters.
type Stats struct {
	Dials, DialErrors, Requests, Mismatches, ConnectionsLost, Canceled counter
}

// Pool holds the connections to all upstreams. It is safe for concurrent use.
type Pool struct {
	// Stats may be read at any time.
	Stats Stats

	// onLost is called when an upstream closed the last connection of this VM.
	onLost func(addr string)

	dials pond.Pool
	sends pond.Pool

	mu    sync.RWMutex
	hosts map[string]*host
}

// NewPool returns an empty pool. OnLost, if set, is called when an upstream has
// closed the last connection of this VM, before another one is opened. It must
// not block and must not call the pool.
func NewPool(onLost func(addr string)) *Pool {
	return &Pool{
		onLost: onLost,
		dials:  pond.NewPool(maxDials),
		sends:  pond.NewPool(maxSends),
		hosts:  make(map[string]*host),
	}
}

// Limit is the share of an upstream's connections that this VM may hold.
type Limit struct {
	Address string
	// Max is the number of connections; 0 closes idle ones and opens none.
	Max int
	// MinOpen is the number of connections to open ahead.
	MinOpen int
}

// SetLimits sets the shares. An upstream that is not listed keeps its running
// requests, loses its idle connections and gets no new ones.
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

// Connections returns the number of open connections to the address.
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

// Start runs an attempt. Its result is delivered exactly once, on another
// goroutine or on this one.
func (p *Pool) Start(c *Call) {
	c.host = p.host(c.Attempt.Target.Address)
	c.started = time.Now()
	p.Stats.Requests.Inc()
	c.scheduleExpiry()
	c.host.start(c)
}
