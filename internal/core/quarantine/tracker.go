// Package quarantine finds requests that crash the upstreams that run them, also known as
// queries of death, and keeps the VMs of a fleet from sending them on. It is used by
// `ryecourse gateway`.
//
// A fingerprint identifies requests that are the same to an upstream. A fingerprint is
// suspected once an instance of an upstream has ended while it ran such a request; a
// response of an upstream ends the suspicion. It is quarantined when enough instances
// have ended under it that no other fingerprint explains. All VMs share the suspects, as
// such a request may come again at any of them, and a VM that has restarted knows
// none.
//
// The package has no I/O. Times are readings of a clock that keeps running while the VM
// is suspended.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Policy holds the settings of a Tracker.
type Policy struct {
	// Threshold is the number of instances that must have ended.
	Threshold int
	// Period is how long a fingerprint is quarantined after its last crash, and
	// RepeatPeriod if it has crashed instances before and after an earlier quarantine.
	Period, RepeatPeriod time.Duration
	// Retention is how long a crash, and a response that has ended a suspicion, are
	// remembered. It exceeds RepeatPeriod, so that a request that crashes an instance
	// after its release is quarantined again at once.
	Retention time.Duration
	// MaxSuspects and MaxCrashes bound the suspects, and the crashes kept of each.
	MaxSuspects, MaxCrashes int
}

// DefaultPolicy returns the settings of a gateway.
func DefaultPolicy() Policy {
	return Policy{
		Threshold: 3, Period: 2 * time.Minute, RepeatPeriod: 10 * time.Minute, Retention: 15 * time.Minute,
		MaxSuspects: 256, MaxCrashes: 256,
	}
}

// Crash is the end of an instance while it ran a request.
type Crash struct {
	// Instance identifies one run of an upstream's process.
	Instance uint64
	At       time.Duration
}

// Suspect is what the VMs know of one fingerprint.
type Suspect struct {
	Fingerprint uint64
	// Crashes holds those since RespondedAt, sorted by instance.
	Crashes []Crash
	// RespondedAt is when an upstream last responded to such a request after it was
	// suspected; 0 if none has.
	RespondedAt time.Duration
}

// Change is the begin or end of a quarantine.
type Change struct {
	Fingerprint uint64
	Quarantined bool
	// Crashes is the number of instances that have ended.
	Crashes int
	// Remaining is the time until the release, without further crashes.
	Remaining time.Duration
}

// Tracker is one VM's knowledge of suspects. It is safe for concurrent use.
type Tracker struct {
	policy   Policy
	onChange func(Change)

	mu          sync.Mutex
	suspects    map[uint64]*Suspect
	quarantined map[uint64]time.Duration // time of the release, by fingerprint
	digest      uint64
	// nextExpiry is when the next quarantine ends or the next suspect expires.
	nextExpiry time.Duration
	// count is len(suspects), for callers without mu: most VMs know none.
	count atomic.Int64
}

// NewTracker returns a tracker without suspects. onChange is called with each change; it
// must not block or call the tracker.
func NewTracker(p Policy, onChange func(Change)) *Tracker {
	return &Tracker{policy: p, onChange: onChange, suspects: map[uint64]*Suspect{}, quarantined: map[uint64]time.Duration{}}
}

// Quarantined returns whether a request may not be sent on, and for how long.
func (t *Tracker) Quarantined(now time.Duration, fingerprint uint64) (time.Duration, bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.quarantined[fingerprint]
	if !ok || now >= until {
		return 0, false
	}
	return until - now, true
}

// Crashes returns the number of instances that have ended while they ran such a request,
// without a response since.
func (t *Tracker) Crashes(fingerprint uint64) int {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil {
		return 0
	}
	return len(s.Crashes)
}

// AddCrash records that an instance ended while it ran a request to which no upstream has
// responded.
func (t *Tracker) AddCrash(now time.Duration, fingerprint, instance uint64) {
	t.Merge(now, []Suspect{{Fingerprint: fingerprint, Crashes: []Crash{{Instance: instance, At: now}}}})
}

// AddResponse records that an upstream has run a request and responded.
func (t *Tracker) AddResponse(now time.Duration, fingerprint uint64) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	known := t.suspects[fingerprint]
	t.mu.Unlock()
	if known != nil {
		t.Merge(now, []Suspect{{Fingerprint: fingerprint, RespondedAt: now}})
	}
}

// Merge applies what another VM knows.
func (t *Tracker) Merge(now time.Duration, suspects []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range suspects {
		changed = t.mergeOne(now, &suspects[i]) || changed
	}
	if changed {
		t.update(now)
	}
}

// mergeOne returns whether it has changed anything but the time of a response.
func (t *Tracker) mergeOne(now time.Duration, s *Suspect) bool {
	own := t.suspects[s.Fingerprint]
	if own == nil {
		own = &Suspect{Fingerprint: s.Fingerprint}
	}
	merged := Suspect{Fingerprint: s.Fingerprint, RespondedAt: max(own.RespondedAt, s.RespondedAt)}
	merged.Crashes = union(own.Crashes, s.Crashes, func(c Crash) bool {
		return c.At > merged.RespondedAt && now-c.At <= t.policy.Retention
	})
	if len(merged.Crashes) > t.policy.MaxCrashes {
		merged.Crashes = newest(merged.Crashes, t.policy.MaxCrashes)
	}
	if len(merged.Crashes) == 0 && (merged.RespondedAt == 0 || now-merged.RespondedAt > t.policy.Retention) {
		return t.remove(s.Fingerprint)
	}
	changed := !sameInstances(own.Crashes, merged.Crashes) || own.RespondedAt == 0 && merged.RespondedAt > 0
	if t.suspects[s.Fingerprint] == nil {
		t.makeRoom()
	}
	t.suspects[s.Fingerprint] = &merged
	t.count.Store(int64(len(t.suspects)))
	return changed
}

func (t *Tracker) remove(fingerprint uint64) bool {
	if t.suspects[fingerprint] == nil {
		return false
	}
	delete(t.suspects, fingerprint)
	t.count.Store(int64(len(t.suspects)))
	return true
}

// makeRoom removes the least suspected fingerprint if there are too many: the one with
// the fewest crashes, of those the one whose last crash is the oldest.
func (t *Tracker) makeRoom() {
	if len(t.suspects) < t.policy.MaxSuspects {
		return
	}
	var least *Suspect
	for _, s := range t.suspects {
		if least == nil || len(s.Crashes) < len(least.Crashes) ||
			len(s.Crashes) == len(least.Crashes) && s.lastCrash() < least.lastCrash() {
			least = s
		}
	}
	t.remove(least.Fingerprint)
}

// lastCrash returns the time of the last crash, or 0.
func (s *Suspect) lastCrash() time.Duration {
	var last time.Duration
	for _, c := range s.Crashes {
		last = max(last, c.At)
	}
	return last
}

// firstCrash returns the time of the first crash that is kept.
func (s *Suspect) firstCrash() time.Duration {
	first := s.lastCrash()
	for _, c := range s.Crashes {
		first = min(first, c.At)
	}
	return first
}

// union returns the crashes of both lists that keep accepts, sorted by instance. VMs
// see the same crash at slightly different times; the first one counts.
func union(a, b []Crash, keep func(Crash) bool) []Crash {
	var out []Crash
	for _, c := range slices.Concat(a, b) {
		i, known := slices.BinarySearchFunc(out, c.Instance, compareInstance)
		switch {
		case !keep(c):
		case known:
			out[i].At = min(out[i].At, c.At)
		default:
			out = slices.Insert(out, i, c)
		}
	}
	return out
}

func sameInstances(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(x, y Crash) bool { return x.Instance == y.Instance })
}

// Suspects returns what this VM knows, for other VMs to merge, sorted by fingerprint.
func (t *Tracker) Suspects() []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		out = append(out, *s)
	}
	slices.SortFunc(out, compareFingerprint)
	return out
}

// Digest returns a hash of what this VM knows except for times; 0 if it knows none. VMs
// with the same digest have nothing to tell each other.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Tick removes what has expired.
func (t *Tracker) Tick(now time.Duration) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now < t.nextExpiry {
		return
	}
	for fingerprint := range t.suspects {
		t.mergeOne(now, &Suspect{Fingerprint: fingerprint})
	}
	t.update(now)
}
