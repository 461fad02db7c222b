package dissemination

import (
	"fmt"
	"testing"
	"time"
)

// checkListAges requires for every running daemon that the platform had no newer
// list than the daemon's at the time from which the daemon computes the list's age.
func (f *fleet) checkListAges() error {
	for _, n := range f.nodes {
		if f.tamper == nil && !n.confirmedAt.Equal(n.disseminator.confirmedAt) {
			return fmt.Errorf("%s reported a confirmation at %v, but computes the age from %v", n.vm.ID, n.confirmedAt, n.disseminator.confirmedAt)
		}
		age, known := n.disseminator.ListAge(f.clock.now)
		if !n.up || n.paused || !known {
			continue
		}
		at := f.clock.now.Add(-age)
		if newest := f.platform.listAt(at); newest > n.disseminator.List().Revision {
			return fmt.Errorf("%s takes list %d as confirmed %v ago, when %d was the newest", n.vm.ID, n.disseminator.List().Revision, age, newest)
		}
	}
	return nil
}

// exerciseListAge pauses daemons at random while lists change, and returns an
// error for the first age that is too small.
func exerciseListAge(seed uint64, tamper func(*Disseminator)) error {
	f := smallFleet(seed)
	f.tamper = tamper
	f.latency = 20 * time.Millisecond
	f.loss, f.repeats = 0.1, 0.1
	for range 400 {
		switch n := f.nodes[f.rng.IntN(len(f.nodes))]; f.rng.IntN(6) {
		case 0:
			n.paused = !n.paused
		case 1:
			f.publishList()
		}
		f.clock.run(time.Duration(f.rng.IntN(500))*time.Millisecond, nil)
		if err := f.checkListAges(); err != nil {
			return err
		}
	}
	return nil
}

func TestListAgeIsNeverTooSmall(t *testing.T) {
	for seed := range uint64(10) {
		if err := exerciseListAge(seed, nil); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
	// An age computed from the arrival of a response is too small if the response
	// was delayed.
	fromArrival := func(s *Disseminator) {
		arrival := s.service.list.next.Add(-minWatchInterval)
		if c := s.service.list; !c.inFlight && c.failures == 0 && s.list != nil {
			s.confirmList(arrival, &actions{})
		}
	}
	failed := 0
	for seed := range uint64(10) {
		if exerciseListAge(seed, fromArrival) != nil {
			failed++
		}
	}
	if failed == 0 {
		t.Error("ages computed from the arrival were never too small: this test proves nothing")
	}
	t.Logf("ages computed from the arrival were too small in %d of 10 runs", failed)
}
