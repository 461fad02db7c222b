package upstreamlimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
)

const tick = 250 * time.Millisecond

// at returns a time that is later than any age in the tests.
func at(d time.Duration) time.Duration { return time.Hour + d }

func newTracker(changes *[]Change) *Tracker {
	return NewTracker(DefaultPolicy(), rand.New(rand.NewPCG(1, 2)), func(c Change) { *changes = append(*changes, c) })
}

// stated returns a report of a VM that has received a limit of an instance.
func stated(vm string, limited bool, perSecond float64, when time.Duration) fleet.Report {
	return fleet.Report{Address: vm, Limits: []fleet.UpstreamLimit{
		{Instance: "i", Stated: true, Limited: limited, PerSecond: perSecond, StatedAt: when},
	}}
}

// TestNewestStatementApplies checks statements that arrive in another order than they
// were made.
func TestNewestStatementApplies(t *testing.T) {
	var changes []Change
	tracker := newTracker(&changes)
	tracker.Observe(at(0), "i", 0, false)
	tracker.Observe(at(0), "i", 20, true)
	tracker.Observe(at(1*time.Second), "i", 20, true)
	tracker.ApplyReport(at(2*time.Second), stated("late", false, 0, at(500*time.Millisecond)))
	tracker.ApplyReport(at(2*time.Second), stated("vm", true, 10, at(1500*time.Millisecond)))
	tracker.Observe(at(3*time.Second), "i", 0, false)
	tracker.ApplyReport(at(3*time.Second), stated("late", true, 20, at(2*time.Second)))
	want := []Change{
		{Instance: "i", Limited: true, PerSecond: 20},
		{Instance: "i", Limited: true, PerSecond: 10, Age: 500 * time.Millisecond, Peer: "vm"},
		{Instance: "i"},
	}
	for i := range changes {
		changes[i].Fraction = 0 // see load_test.go
	}
	if !slices.Equal(changes, want) {
		t.Errorf("changes are %+v, want %+v", changes, want)
	}
}

// TestOldReportDoesNotRestoreALiftedLimit checks a VM that was suspended while a limit
// was lifted, and reports it as it was.
func TestOldReportDoesNotRestoreALiftedLimit(t *testing.T) {
	var changes []Change
	tracker := newTracker(&changes)
	tracker.Observe(at(0), "i", 20, true)
	tracker.Observe(at(tick), "i", 0, false)
	if got := tracker.Tick(at(2 * tick)); len(got) != 1 || !got[0].Stated || got[0].Limited {
		t.Errorf("the lifted limit is reported as %+v", got)
	}
	tracker.Tick(at(10 * time.Second))
	if tracker.Totals().Instances != 0 || len(tracker.Tick(at(10*time.Second+tick))) != 0 {
		t.Error("a lifted limit is still known")
	}
	tracker.ApplyReport(at(11*time.Second), stated("suspended", true, 20, at(0)))
	if tracker.Totals().Instances != 0 {
		t.Error("an old report restored a lifted limit")
	}
}

// TestDemandCountsOffers checks the demand that is reported, from the first report on.
func TestDemandCountsOffers(t *testing.T) {
	var changes []Change
	tracker := newTracker(&changes)
	tracker.Tick(at(0))
	tracker.Observe(at(0), "i", 20, true)
	for i := range 8 {
		for range 5 {
			tracker.Admit("i")
		}
		tracker.Admit("unlimited")
		got := tracker.Tick(at(time.Duration(i+1) * tick))
		if len(got) != 1 || got[0].Instance != "i" || got[0].Demand < 19.9 || got[0].Demand > 20.1 {
			t.Fatalf("report %d is %+v, want a demand of 20 a second", i, got)
		}
	}
	tracker.Retain(map[string]bool{"other": true})
	if tracker.Totals().Instances != 0 {
		t.Error("the limit of a removed instance is still known")
	}
}
