// Package connbudget decides what the connections that a process has accepted may hold
// together: memory of the process, memory of the kernel's socket buffers, and descriptors. When
// a limit is reached, the connections that hold most and move least give up what they hold, and
// a newcomer is refused only if there are none of these. The package does no I/O: its methods
// return the connections to be evicted.
//
// A connection is charged a fixed amount while it is open, another one from the first byte of a
// request to the end of its answer, which covers its socket buffers, and what its holder charges
// for buffers. Responses of upstreams are charged to the whole until a caller's connection sends
// them. `ryecourse serve` and `ryecourse gateway` use it through package connlimit.
package connbudget

import (
	"sync"
	"time"
)

// Class is a group of connections with limits of its own.
type Class int

// Classes of connections.
const (
	Callers Class = iota
	VMs
	HealthChecks
	Operators
	numClasses
)

// Classes is the number of classes.
const Classes = int(numClasses)

var classNames = [Classes]string{"callers", "vms", "health_checks", "operators"}

// String returns the class's name in metrics and logs.
func (c Class) String() string { return classNames[c] }

// Phase is what a connection is doing.
type Phase int

// Phases of a connection, in the order of a request.
const (
	Idle      Phase = iota // no request is in
	Head                   // a part of a request's head has been read
	Body                   // the body is being read
	Running                // the caller waits
	Sending                // the answer is being written
	Lingering              // the connection is closed as soon as its peer has read what was sent
	numPhases
)

// Phases is the number of phases.
const Phases = int(numPhases)

var phaseNames = [Phases]string{"idle", "head", "body", "running", "sending", "lingering"}

// String returns the phase's name in metrics and logs.
func (p Phase) String() string { return phaseNames[p] }

// EvictedField returns the name of the log field that counts evictions in the phase.
func (p Phase) EvictedField() string { return "evicted_" + phaseNames[p] }

// ClassLimit limits the connections of a class.
type ClassLimit struct {
	// Conns is the number of open connections.
	Conns int
	// Bytes is what they hold together.
	Bytes int64
}

// Limits are the limits of a Budget.
type Limits struct {
	// Bytes is what all connections and responses hold together.
	Bytes int64
	// Reserve is the part of Bytes that is left to connections that hold little.
	Reserve int64
	// Responses is what upstreams' responses hold together.
	Responses int64
	// OpenBytes is charged for an open connection, RequestBytes for one with a request in.
	OpenBytes, RequestBytes int64
	Classes                 [Classes]ClassLimit
}

// Evictor is a connection that can be made to give up what it holds.
type Evictor interface {
	// Evict makes a connection that was in a phase give up what it holds. It must not block.
	Evict(p Phase)
}

// Victim is a connection that must be evicted, with the phase in which it was chosen.
type Victim struct {
	Evictor
	Phase Phase
}

const (
	// smallBytes is what a connection may hold, beyond what is charged for each, to use the
	// reserve.
	smallBytes = 16 << 10
	// minAge is the time that a connection has to make progress in a phase, minPace the bytes a
	// second from which it does, and maxStall the longest pause. What a socket buffer takes at
	// once counts as progress, so that the pace alone shows a stall late.
	minAge   = 500 * time.Millisecond
	minPace  = 64 << 10
	maxStall = time.Second
	// firstBytes are taken as moved at the begin of each phase.
	firstBytes = 4 << 10
	// roomFraction is the part of the limit that is freed at least when room is made, so that
	// not each charge has to look for connections to evict.
	roomFraction = 1.0 / 32
)

// Conn is an open connection. Its fields belong to its Budget.
type Conn struct {
	class   Class
	evictor Evictor
	phase   Phase
	held    int64 // charged bytes
	lent    int64 // bytes of responses that it sends, which are charged to the whole
	since   time.Time
	moved   int64 // bytes received or sent in the phase
	movedAt time.Time
	used    bool // it has carried a request
	evicted bool
}

// Usage is what is held now, and what was decided so far.
type Usage struct {
	Bytes, Responses int64
	Conns            [Classes]int
	// Evicted counts evictions by phase; Rejected counts connections by class that were
	// closed as soon as they were accepted; Denied counts charges that weren't granted.
	Evicted  [Phases]int64
	Rejected [Classes]int64
	Denied   int64
}

// Budget holds all open connections. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu         sync.Mutex
	conns      map[*Conn]struct{}
	usage      Usage
	classBytes [Classes]int64
}

// New returns a budget without connections.
func New(l Limits) *Budget { return &Budget{limits: l, conns: map[*Conn]struct{}{}} }

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// Usage returns what is held now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Open adds a connection. It returns nil if the connection must be closed at once. One above
// the limit of its class takes the place of another one, which is returned.
func (b *Budget) Open(now time.Time, class Class, e Evictor) (*Conn, []Victim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var victims []Victim
	limit := b.limits.Classes[class]
	open, bytes := b.usage.Conns[class], max(b.usage.Bytes-b.limits.Bytes, b.classBytes[class]-limit.Bytes)+b.limits.OpenBytes
	if open >= limit.Conns || bytes > 0 {
		// Evicted connections take a moment to be closed.
		victims = b.replace(now, class)
		if len(victims) == 0 || open >= limit.Conns+max(limit.Conns/8, 1) || bytes > b.limits.Reserve/2 {
			b.usage.Rejected[class]++
			return nil, victims
		}
	}
	c := &Conn{class: class, evictor: e, since: now}
	b.conns[c] = struct{}{}
	b.usage.Conns[class]++
	b.add(c, b.limits.OpenBytes)
	return c, victims
}

// EvictAll returns all connections of a class.
func (b *Budget) EvictAll(class Class) []Victim {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Victim
	for c := range b.conns {
		if c.class == class {
			out = append(out, b.evict(c))
		}
	}
	return out
}

// Close removes a connection with all that it holds.
func (b *Budget) Close(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.conns[c]; !ok {
		return
	}
	delete(b.conns, c)
	b.usage.Conns[c.class]--
	b.add(c, -c.held)
}

// add must be called with mu held.
func (b *Budget) add(c *Conn, n int64) {
	c.held += n
	b.usage.Bytes += n
	b.classBytes[c.class] += n
}

// Begin records the first byte of a request. It returns false if the connection's request must
// be refused.
func (b *Budget) Begin(now time.Time, c *Conn) (bool, []Victim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase != Idle {
		return !c.evicted, nil
	}
	c.evicted = false // as an idle one: its reader has found a request
	c.enter(now, Head)
	c.used = true
	ok, victims := b.makeRoomFor(now, c, b.limits.RequestBytes)
	b.add(c, b.limits.RequestBytes) // also without room, as its socket buffers exist
	if !ok {
		b.usage.Denied++
	}
	return ok, victims
}

// Enter changes the phase. It returns false if the connection has been evicted: its request
// must not be run.
func (b *Budget) Enter(now time.Time, c *Conn, p Phase) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase != p {
		c.enter(now, p)
	}
	return !c.evicted
}

func (c *Conn) enter(now time.Time, p Phase) { c.phase, c.since, c.moved, c.movedAt = p, now, 0, now }

// End records the end of an answer.
func (b *Budget) End(now time.Time, c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase == Idle || c.phase == Lingering {
		return
	}
	c.enter(now, Idle)
	b.add(c, -b.limits.RequestBytes)
}

// Move records n bytes that the connection has received or sent.
func (b *Budget) Move(now time.Time, c *Conn, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.moved += int64(n)
	c.movedAt = now
}

// Lend records that the connection sends n bytes of responses, which stay charged to the whole;
// less than 0 when it has sent them.
func (b *Budget) Lend(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.lent += n
}

// Decision is the outcome of a charge.
type Decision int

// Decisions.
const (
	// Granted means that the bytes are charged.
	Granted Decision = iota
	// Retry means that the bytes aren't charged, and connections are being evicted for them.
	Retry
	// Denied means that there is no room.
	Denied
)

// Charge charges a connection for n bytes.
func (b *Budget) Charge(now time.Time, c *Conn, n int64) (Decision, []Victim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return Denied, nil
	}
	if all, class := b.excess(c, n); all <= 0 && class <= 0 {
		b.add(c, n)
		return Granted, nil
	}
	return b.retryOrDeny(b.makeRoomFor(now, c, n))
}

// retryOrDeny must be called with mu held.
func (b *Budget) retryOrDeny(ok bool, victims []Victim) (Decision, []Victim) {
	if ok {
		return Retry, victims
	}
	b.usage.Denied++
	return Denied, victims
}

// Release returns n charged bytes.
func (b *Budget) Release(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open { // Close has released the others
		b.add(c, -n)
	}
}

// ChargeExtra charges a connection for n bytes if less than half of the limit is in use: larger
// socket buffers, which only make it faster.
func (b *Budget) ChargeExtra(c *Conn, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted || b.usage.Bytes+n > b.limits.Bytes/2 || b.classBytes[c.class]+n > b.limits.Classes[c.class].Bytes/2 {
		return false
	}
	b.add(c, n)
	return true
}

// Hold charges a connection for n bytes that it holds already, whether there is room or not.
func (b *Budget) Hold(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open {
		b.add(c, n)
	}
}

// Detach charges n bytes of a connection to the whole. They outlast the connection until
// ReleaseDetached.
func (b *Budget) Detach(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open {
		b.add(c, -n)
	}
	b.usage.Bytes += n
}

// ReleaseDetached returns n bytes of Detach.
func (b *Budget) ReleaseDetached(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Bytes -= n
}

// ChargeResponse charges the whole for n bytes of a response.
func (b *Budget) ChargeResponse(now time.Time, n int64) (Decision, []Victim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if all, responses := b.responseExcess(n); all <= 0 && responses <= 0 {
		b.usage.Responses += n
		b.usage.Bytes += n
		return Granted, nil
	}
	return b.retryOrDeny(b.makeRoomForResponse(now, n))
}

// ReleaseResponse returns n bytes of a response.
func (b *Budget) ReleaseResponse(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Responses -= n
	b.usage.Bytes -= n
}

// HasRoomForResponse reports whether there is room for a response of n bytes, now or once the
// victims have been evicted.
func (b *Budget) HasRoomForResponse(now time.Time, n int64) (bool, []Victim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.makeRoomForResponse(now, n)
}
