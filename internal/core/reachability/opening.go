package reachability

import (
	"math"
	"time"
)

// Opened records that a connection to an instance works: the instance has responded over
// it, or the connection has stayed open for a while. That an instance accepts a connection
// is no proof, as a link may reset it at once.
func (t *Tracker) Opened(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastOpened = now
	clear(t.unopened)
	t.startRecovery(now)
}

// OpenFailed records that a connection to the instance at an address couldn't be opened,
// or was reset before it carried a response.
func (t *Tracker) OpenFailed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unopened[address] = true
}

// OpenedSince reports whether a connection has been opened that works since a time.
func (t *Tracker) OpenedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lastOpened.Before(at)
}

// MayOpenNone reports whether connections to so many instances have failed, and none has
// been opened since, that this VM may be unable to open any.
func (t *Tracker) MayOpenNone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayOpenNone()
}

// mayOpenNone implements MayOpenNone. The caller holds mu.
func (t *Tracker) mayOpenNone() bool {
	n := len(t.unopened)
	return n > 0 && n >= min(t.policy.MinInstances, t.instances)
}

// opensNone reports whether this VM can't open connections. The caller holds mu.
func (t *Tracker) opensNone() bool {
	most := int(math.Ceil(t.policy.UnopenedFraction * float64(t.instances)))
	return t.mayOpenNone() && len(t.unopened) >= min(most, t.policy.MaxUnopened)
}

// minUnopened is the number of instances from which others are probed. A single instance
// that ends doesn't cost the others a connection.
const minUnopened = 2

// TakeOpenProbes returns to how many instances, other than those that IsUnopened reports,
// the caller should open connections, and expects a call of OpenProbed after that. One
// probe is enough to end an unfounded suspicion; the number grows with the failures, so
// that a VM that can open none knows within a second.
func (t *Tracker) TakeOpenProbes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.unopened)
	if n < minUnopened || t.state == Isolated || t.openProbing {
		return 0
	}
	t.openProbing = true
	return min(n-1, t.policy.MaxOpenProbes)
}

// OpenProbed records that the probes of TakeOpenProbes have ended.
func (t *Tracker) OpenProbed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openProbing = false
}

// IsUnopened reports whether a connection to the instance at an address has failed since
// one was last opened.
func (t *Tracker) IsUnopened(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unopened[address]
}
