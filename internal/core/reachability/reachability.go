// Package reachability decides from a VM's attempts whether the VM reaches upstreams at
// all. `ryecourse gateway` uses it.
//
// A VM whose links to all upstreams have failed still has callers, the metadata store and
// other VMs, and the store goes on listing the upstreams. Such a VM is isolated. So is one
// whose open connections work while it can't open new ones: it loses one shard after the
// other as its connections end. One that is slow, or has lost some upstreams, still
// receives responses or opens connections and isn't isolated. An
// isolated VM has other VMs run its requests; when it reaches an upstream again, it takes
// them back over a ramp, so that its new connections are opened over some seconds.
//
// The package has no I/O; callers pass the time.
package reachability

import (
	"sync"
	"time"
)

// State is whether a VM reaches upstreams.
type State uint8

// The states of a VM.
const (
	Connected State = iota
	// Isolated means that no upstream responds, or that no connection can be opened.
	Isolated
	// Recovering means that an upstream has responded or a connection was opened since
	// the VM was isolated. The VM runs a growing fraction of its requests.
	Recovering
)

// String returns the name used in logs.
func (s State) String() string { return [...]string{"connected", "isolated", "recovering"}[s] }

// Policy holds the thresholds of a Tracker.
type Policy struct {
	// MinInstances is the number of instances that must be silent for the VM to be
	// isolated; fewer if there are fewer.
	MinInstances int
	// MinSilence is the time without a response after which an instance is silent.
	MinSilence time.Duration
	// SuspectSilence is the time without a response after which as many instances are
	// enough for the VM to run no requests of others. It is short, as a mistake costs
	// them little.
	SuspectSilence time.Duration
	// SilentTicks is the number of consecutive ticks with silent instances and no
	// response after which the VM is isolated. A VM that resumes after a pause ticks once
	// before it has read the responses that have arrived.
	SilentTicks int
	// UnopenedFraction is the fraction of the instances, and MaxUnopened the number that
	// is enough of a large fleet of them, to which connections must have failed since one
	// was last opened for the VM to be isolated. They are more than a service's instances
	// that end together, or that are full.
	UnopenedFraction float64
	MaxUnopened      int
	// MaxOpenProbes is the largest number of instances that are probed at a time.
	MaxOpenProbes int
	// RampTime is the time from Recovering to Connected, and InitialFraction the fraction
	// of its requests that the VM runs at first.
	RampTime        time.Duration
	InitialFraction float64
}

// TickInterval is the time between two ticks that DefaultPolicy assumes.
const TickInterval = 100 * time.Millisecond

// DefaultPolicy returns the thresholds of a gateway.
func DefaultPolicy() Policy {
	return Policy{
		MinInstances: 4, MinSilence: 120 * time.Millisecond, SuspectSilence: 50 * time.Millisecond, SilentTicks: 2,
		UnopenedFraction: 0.75, MaxUnopened: 32, MaxOpenProbes: 16,
		RampTime: 2 * time.Second, InitialFraction: 0.1,
	}
}

// Change is a change of the state, with what it was concluded from.
type Change struct {
	State State
	// SilentInstances is the number of instances that have been sent requests and are
	// silent, and Silence the time since the last response.
	SilentInstances int
	Silence         time.Duration
	// UnopenedInstances is the number of instances to which connections have failed since
	// one was last opened.
	UnopenedInstances int
}

// Tracker tracks the state of one VM. It is safe for concurrent use.
type Tracker struct {
	policy   Policy
	onChange func(Change)

	mu           sync.Mutex
	state        State
	instances    int
	lastResponse time.Time
	// lastOpened is when a connection was last opened, and unopened holds the addresses of
	// the instances to which connections have failed since. openProbing is set while
	// others are probed.
	lastOpened  time.Time
	unopened    map[string]bool
	openProbing bool
	// sentAt is when each instance was first sent a request since the last response of
	// any instance.
	sentAt       map[string]time.Time
	silentTicks  int
	probing      bool
	recoveringAt time.Time
}

// NewTracker returns the tracker of a connected VM. onChange is called with each change
// of the state; it must not call the tracker.
func NewTracker(p Policy, now time.Time, onChange func(Change)) *Tracker {
	return &Tracker{policy: p, onChange: onChange, lastResponse: now, sentAt: map[string]time.Time{}, unopened: map[string]bool{}}
}

// SetInstances sets the number of instances that may be sent requests.
func (t *Tracker) SetInstances(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = n
}

// Sent records that an attempt at an instance begins.
func (t *Tracker) Sent(now time.Time, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.sentAt[instance]; !ok {
		t.sentAt[instance] = now
	}
}

// Withdraw removes what Sent has recorded of an instance, as the instance has accepted a
// connection in place of a request.
func (t *Tracker) Withdraw(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sentAt, instance)
}

// Responded records a response of any instance. It doesn't end the isolation of a VM that
// can't open connections, as the response may have come over an open one.
func (t *Tracker) Responded(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.lastResponse) {
		t.lastResponse = now
	}
	clear(t.sentAt)
	t.silentTicks = 0
	if !t.opensNone() {
		t.startRecovery(now)
	}
}

// RespondedSince reports whether any instance has responded since a time.
func (t *Tracker) RespondedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lastResponse.Before(at)
}

// Tick updates the state. It reports whether the caller should open a connection to an
// instance and pass the outcome to Probed.
func (t *Tracker) Tick(now time.Time) (probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isSilent(now, t.policy.MinSilence) {
		t.silentTicks++
	} else {
		t.silentTicks = 0
	}
	switch {
	case t.state != Isolated && (t.silentTicks >= t.policy.SilentTicks || t.opensNone()):
		t.change(now, Isolated)
	case t.state == Recovering && now.Sub(t.recoveringAt) >= t.policy.RampTime:
		t.change(now, Connected)
	}
	probe = t.state == Isolated && !t.probing
	t.probing = t.probing || probe
	return probe
}

// isSilent reports whether enough instances have been silent for some time. The caller
// holds mu.
func (t *Tracker) isSilent(now time.Time, silence time.Duration) bool {
	n := t.silentInstances(now, silence)
	return n > 0 && n >= min(t.policy.MinInstances, t.instances)
}

// silentInstances returns the number of instances that have been silent for some time.
// The caller holds mu.
func (t *Tracker) silentInstances(now time.Time, silence time.Duration) int {
	n := 0
	for _, at := range t.sentAt {
		if now.Sub(at) >= silence {
			n++
		}
	}
	return n
}

// Probed records the end of the probe that Tick asked for, and whether it opened a
// connection.
func (t *Tracker) Probed(now time.Time, opened bool) {
	t.mu.Lock()
	t.probing = false
	t.mu.Unlock()
	if opened {
		t.Opened(now)
	}
}

// startRecovery ends the isolation. The caller holds mu.
func (t *Tracker) startRecovery(now time.Time) {
	if t.state != Isolated {
		return
	}
	t.recoveringAt = now
	t.change(now, Recovering)
	clear(t.sentAt)
	t.silentTicks = 0
}

func (t *Tracker) change(now time.Time, s State) {
	t.state = s
	t.onChange(Change{State: s, SilentInstances: t.silentInstances(now, t.policy.MinSilence), Silence: now.Sub(t.lastResponse), UnopenedInstances: len(t.unopened)})
}

// State returns the state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// IsSuspect reports whether the VM may be isolated: so many instances are silent, or
// connections to so many have failed.
func (t *Tracker) IsSuspect(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSilent(now, t.policy.SuspectSilence) || t.mayOpenNone()
}

// LocalFraction returns the fraction of its requests, 0 to 1, that the VM should run
// itself.
func (t *Tracker) LocalFraction(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.state {
	case Isolated:
		return 0
	case Recovering:
		ramped := min(max(now.Sub(t.recoveringAt).Seconds()/t.policy.RampTime.Seconds(), 0), 1)
		return t.policy.InitialFraction + (1-t.policy.InitialFraction)*ramped
	}
	return 1
}
