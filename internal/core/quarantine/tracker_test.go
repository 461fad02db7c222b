package quarantine

import (
	"testing"
	"time"
)

const someTime = time.Hour

func newTestTracker() *Tracker { return NewTracker(DefaultPolicy(), func(Change) {}) }

func (t *Tracker) isQuarantined(now time.Duration, fingerprint uint64) bool {
	_, ok := t.Quarantined(now, fingerprint)
	return ok
}

// TestResponseEndsSuspicion checks a request that ran at instances which ended for another
// reason, and a VM that doesn't know of the response.
func TestResponseEndsSuspicion(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	now := someTime
	for i := range uint64(3) {
		now += time.Second
		a.AddCrash(now, 7, i)
		b.Merge(now, a.Suspects())
	}
	if !a.isQuarantined(now, 7) || !b.isQuarantined(now, 7) || a.isQuarantined(now, 8) {
		t.Fatal("three instances have ended, and it isn't quarantined")
	}
	if a.Digest() != b.Digest() || a.Digest() == 0 {
		t.Errorf("the digests of the same suspects are %x and %x", a.Digest(), b.Digest())
	}
	now += time.Second
	a.AddResponse(now, 7) // of an attempt that began before
	if a.isQuarantined(now, 7) || a.Digest() == b.Digest() {
		t.Error("a response doesn't end the quarantine")
	}
	a.Merge(now, b.Suspects())
	if a.isQuarantined(now, 7) {
		t.Error("a VM that doesn't know of the response restored the quarantine")
	}
	b.Merge(now, a.Suspects())
	if b.isQuarantined(now, 7) || a.Digest() != b.Digest() {
		t.Error("the response isn't known to the other VM")
	}
	b.AddCrash(now+time.Second, 7, 9)
	if b.Crashes(7) != 1 {
		t.Errorf("%d crashes count after the response, want 1", b.Crashes(7))
	}
}

// TestReleaseAndRepeat checks a request that is still the same when it is released.
func TestReleaseAndRepeat(t *testing.T) {
	p := DefaultPolicy()
	tracker := newTestTracker()
	now := someTime
	for i := range uint64(3) {
		tracker.AddCrash(now, 7, i)
	}
	if left, ok := tracker.Quarantined(now+time.Second, 7); !ok || left != p.Period-time.Second {
		t.Errorf("%v left, %v", left, ok)
	}
	now += p.Period + time.Second
	tracker.Tick(now)
	if tracker.isQuarantined(now, 7) {
		t.Error("it is quarantined after the period")
	}
	tracker.AddCrash(now, 7, 3)
	if left, ok := tracker.Quarantined(now, 7); !ok || left != p.RepeatPeriod {
		t.Errorf("%v left after a crash that follows the release, want %v", left, p.RepeatPeriod)
	}
	now += p.Retention + time.Second
	tracker.Tick(now)
	if len(tracker.Suspects()) != 0 || tracker.Digest() != 0 {
		t.Errorf("suspects are kept for too long: %+v", tracker.Suspects())
	}
}

// TestSuspectsAreBounded checks that the most suspected one is kept.
func TestSuspectsAreBounded(t *testing.T) {
	p := DefaultPolicy()
	tracker := newTestTracker()
	for i := range uint64(3) {
		tracker.AddCrash(someTime, 7, i)
	}
	for i := range uint64(2 * p.MaxSuspects) {
		tracker.AddCrash(someTime+time.Duration(i)*time.Second, 100+i, 1000+i)
	}
	if n := len(tracker.Suspects()); n != p.MaxSuspects || tracker.Crashes(7) != 3 {
		t.Errorf("%d suspects, want %d; the first has %d crashes", n, p.MaxSuspects, tracker.Crashes(7))
	}
	for i := range uint64(2 * p.MaxCrashes) {
		tracker.AddCrash(someTime+time.Second, 7, 10+i)
	}
	if n := tracker.Crashes(7); n != p.MaxCrashes {
		t.Errorf("%d crashes are kept, want %d", n, p.MaxCrashes)
	}
}

// TestTwoCulpritsAtOnce checks queries over shards that crash instances at the same time.
func TestTwoCulpritsAtOnce(t *testing.T) {
	tracker := newTestTracker()
	for arrival := range uint64(2) {
		now := someTime + time.Duration(arrival)*2*time.Second
		for shard := range uint64(10) {
			tracker.AddCrash(now, 7, 1000+100*arrival+shard)
			tracker.AddCrash(now, 8, 2000+100*arrival+shard)
		}
	}
	now := someTime + 3*time.Second
	if !tracker.isQuarantined(now, 7) || !tracker.isQuarantined(now, 8) {
		t.Error("one of two requests that crash instances isn't quarantined")
	}
}

// TestBystanderIsNotQuarantined checks a request that ran beside the culprit on each
// instance but one.
func TestBystanderIsNotQuarantined(t *testing.T) {
	tracker := newTestTracker()
	for i := range uint64(5) {
		now := someTime + time.Duration(i)*time.Second
		tracker.AddCrash(now, 7, i)
		if i > 0 {
			tracker.AddCrash(now, 8, i)
		}
	}
	now := someTime + 5*time.Second
	if !tracker.isQuarantined(now, 7) || tracker.isQuarantined(now, 8) {
		t.Errorf("culprit %v, bystander %v", tracker.isQuarantined(now, 7), tracker.isQuarantined(now, 8))
	}
}
