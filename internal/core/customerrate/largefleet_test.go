package customerrate

import (
	"fmt"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// newRelayedFleet returns a fleet of 80 VMs, whose reports pass one to three relays.
func newRelayedFleet(t *testing.T, seed uint64, c routetable.Customer) *simFleet {
	return newRelayedFleetOf(t, seed, 80, c)
}

func newRelayedFleetOf(t *testing.T, seed uint64, vms int, c routetable.Customer) *simFleet {
	f := newSimFleet(t, seed, vms, c)
	f.relayDelay = [2]time.Duration{250 * time.Millisecond, 1500 * time.Millisecond}
	return f
}

// TestHerdKillInALargeFleetKeepsToTheLimit kills three fifths of a fleet some time
// after one customer began to send several times its rate. The VMs see a full pool
// until the reports of the others arrive, and the restarted ones don't know what the
// others have admitted.
func TestHerdKillInALargeFleetKeepsToTheLimit(t *testing.T) {
	customer := routetable.Customer{Name: "hot", RatePerSecond: 34, Burst: 34}
	for _, killAfter := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		forEachSeed(t, func(t *testing.T, seed uint64) {
			f := newRelayedFleet(t, seed, customer)
			f.run(4 * time.Second)
			f.setDemand(customer.RatePerSecond / 1.6)
			f.run(6 * time.Second)
			f.setDemand(customer.RatePerSecond / 1.6 * 8)
			f.run(killAfter)
			killed := f.vms[:48]
			for _, vm := range killed {
				vm.down = true
			}
			f.run(1500 * time.Millisecond)
			for _, vm := range killed {
				f.startVM(vm)
			}
			f.run(8 * time.Second)
			f.checkWindows()
		})
	}
}

// TestUsualDemandIsNotRefusedInALargeFleet checks demands below the rate whose
// requests reach few VMs at a time. A small customer sends few requests, so those of
// all seeds are added up. The bound is that of TestUsualDemandIsNotRefused.
func TestUsualDemandIsNotRefusedInALargeFleet(t *testing.T) {
	for _, c := range []routetable.Customer{large, small} {
		offered, refused := 0, 0
		forEachSeed(t, func(t *testing.T, seed uint64) {
			f := newRelayedFleet(t, seed, c)
			f.run(4 * time.Second)
			f.setDemand(c.RatePerSecond / 1.6)
			f.run(15 * time.Second)
			f.checkWindows()
			offered += f.offered
			refused += f.offered - len(f.admitted)
		})
		t.Logf("%s: %d of %d requests refused below the rate", c.Name, refused, offered)
		if refused*200 > offered {
			t.Errorf("%s: %d of %d requests refused below the rate", c.Name, refused, offered)
		}
	}
}

// TestRestartInALargeFleetGrantsNoSlack guards against restarted VMs whose parts of the slack add
// up to requests beyond the limit, after the others have admitted all that it allows.
func TestRestartInALargeFleetGrantsNoSlack(t *testing.T) {
	at := time.Unix(1000, 0)
	for vms, want := range map[int]bool{9: true, 80: false} {
		l := NewLimiter(DefaultPolicy())
		for i := range vms - 1 {
			l.ApplyReport(at, fleet.Report{Address: fmt.Sprint("vm-", i), Incarnation: 1, At: time.Second})
		}
		l.Update(at, []routetable.Customer{small})
		a, _ := l.Peek(at, small.Name, false)
		if got := a.OwnLeft > 0; got != want {
			t.Errorf("%d VMs: a VM that starts has %.2f tokens, want some: %v", vms, a.OwnLeft, want)
		}
	}
}

// TestFirstRequestsInAFleetOfHundreds checks a small customer whose requests each reach
// another VM, soon after a fleet that has been up for a while was first configured.
func TestFirstRequestsInAFleetOfHundreds(t *testing.T) {
	c := routetable.Customer{Name: "tiny", RatePerSecond: 4, Burst: 4}
	offered, refused := 0, 0
	for seed := range uint64(3) {
		f := newRelayedFleetOf(t, seed, 295, c)
		for _, vm := range f.vms {
			vm.limiter = NewLimiter(DefaultPolicy())
		}
		f.run(3 * time.Second)
		for _, vm := range f.vms {
			vm.limiter.Update(f.time(), []routetable.Customer{c})
		}
		f.run(2 * time.Second)
		f.setDemand(c.RatePerSecond / 1.6)
		f.run(4 * time.Second)
		f.checkWindows()
		offered += f.offered
		refused += f.offered - len(f.admitted)
	}
	if offered == 0 || refused*200 > offered {
		t.Errorf("%d of %d requests refused below the rate", refused, offered)
	}
}
