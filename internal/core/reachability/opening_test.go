package reachability

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runOpening passes ticks. At each of them the probes that the tracker asks for go to
// random instances that haven't failed, of which accepts says whether they accept
// connections. It returns the number of accepted ones.
func (v *vm) runOpening(ticks, instances int, accepts func(i int) bool) (opened int) {
	v.run(ticks, func(int) {
		n := v.TakeOpenProbes()
		if n == 0 {
			return
		}
		before := opened
		for _, i := range v.rng.Perm(instances) {
			switch address := fmt.Sprint("i-", i); {
			case n == 0 || v.IsUnopened(address):
				continue
			case accepts(i):
				opened++
			default:
				v.OpenFailed(address)
			}
			n--
		}
		if opened > before {
			v.Opened(v.now)
		}
		v.OpenProbed()
	})
	return opened
}

// TestVMThatOpensNoConnectionIsIsolated guards against a VM that fails the requests to one
// upstream after the other, because its open connections to others still work.
func TestVMThatOpensNoConnectionIsIsolated(t *testing.T) {
	for _, instances := range []int{2, 10, 41, 300} {
		v := newVM(instances)
		v.OpenFailed("i-0")
		v.OpenFailed("i-1")
		// The VM has a second until its callers notice.
		v.runOpening(10, instances, func(int) bool { v.Responded(v.now); return false })
		v.expect(t, Isolated)
		v.Responded(v.now)
		v.expect(t, Isolated)
		v.Opened(v.now)
		v.expect(t, Isolated, Recovering)
		if v.MayOpenNone() {
			t.Error("a VM that has opened a connection may open none")
		}
	}
}

// TestEndedInstancesDoNotIsolate guards against a VM that takes the end of all instances
// of a service, or of most instances, for the failure of its own links.
func TestEndedInstancesDoNotIsolate(t *testing.T) {
	for _, ended := range []int{2, 3, 10, 30} {
		v, opened := newVM(41), 0
		for i := range ended {
			v.OpenFailed(fmt.Sprint("i-", i))
			opened += v.runOpening(1, 41, func(i int) bool { return i >= ended })
		}
		v.expect(t)
		// Each instance that is found to have ended costs the others one connection.
		if opened > ended {
			t.Errorf("%d connections after the end of %d instances", opened, ended)
		}
	}
}

func TestOneEndedInstanceIsNotProbedFor(t *testing.T) {
	v := newVM(30)
	for range 5 {
		v.OpenFailed("i-0")
		if n := v.TakeOpenProbes(); n != 0 {
			t.Errorf("%d probes", n)
		}
	}
}

func TestSuspectAfterFailedConnections(t *testing.T) {
	v := newVM(30)
	for i := range 3 {
		v.OpenFailed(fmt.Sprint("i-", i))
	}
	if v.IsSuspect(v.now) || v.MayOpenNone() {
		t.Error("suspect after three failures")
	}
	v.OpenFailed("i-3")
	if !v.IsSuspect(v.now) || !v.MayOpenNone() {
		t.Error("not suspect after four failures")
	}
	v.Responded(v.now)
	if !v.IsSuspect(v.now) {
		t.Error("a response over an open connection ends the suspicion")
	}
	v.Opened(v.now)
	if v.IsSuspect(v.now) {
		t.Error("suspect after a connection was opened")
	}
}

// TestResponsesDoNotShowThatConnectionsCanBeOpened guards against innocent requests that
// are quarantined, because a VM that can't open connections takes its instances for ended.
func TestResponsesDoNotShowThatConnectionsCanBeOpened(t *testing.T) {
	v := newVM(30)
	v.now = v.now.Add(time.Second)
	lost := v.now
	v.Responded(v.now.Add(time.Millisecond))
	if v.OpenedSince(lost) || !v.RespondedSince(lost) {
		t.Error("a response counts as an opened connection")
	}
	v.Opened(v.now.Add(time.Millisecond))
	if !v.OpenedSince(lost) {
		t.Error("an opened connection doesn't count")
	}
}

// TestIsolationAgreesWithTheConnections checks over random runs that a VM which opens some
// connection in each round of probes isn't isolated, and one that opens none is.
func TestIsolationAgreesWithTheConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(2, 120).Draw(rt, "instances")
		down := rapid.IntRange(2, instances).Draw(rt, "down")
		v := newVM(instances)
		v.OpenFailed("i-0")
		v.OpenFailed("i-1")
		v.runOpening(12, instances, func(i int) bool { return i >= down })
		isolated := v.State() == Isolated
		if all := down == instances; all && !isolated {
			rt.Fatalf("not isolated with %d instances down", down)
		}
		if float64(down) < DefaultPolicy().UnopenedFraction*float64(instances) && down < DefaultPolicy().MaxUnopened && isolated {
			rt.Fatalf("isolated with %d of %d instances down", down, instances)
		}
	})
}
