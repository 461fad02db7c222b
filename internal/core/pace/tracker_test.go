package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newTracker(seed uint64, changes *[]Change) *Tracker {
	t := NewTracker(DefaultPolicy(), rand.New(rand.NewPCG(seed, 1)), start, func(c Change) {
		if changes != nil {
			*changes = append(*changes, c)
		}
	})
	t.SetVMs(8)
	return t
}

// lose begins the return of an instance.
func lose(t *Tracker, d time.Duration, instance string) {
	for range DefaultPolicy().LostRun {
		t.Lost(at(d), at(d-time.Millisecond), instance)
	}
}

// send has a VM's report reach another one.
func send(from, to *Tracker, address string, d time.Duration) {
	r := fleet.Report{Address: address, Paces: from.Tick(at(d), d)}
	to.ApplyReport(at(d), d, r)
}

func stage(t *Tracker, instance string) Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[instance]; e != nil {
		return e.stage
	}
	return Stage{}
}

func isReturning(t *Tracker, instance string) bool {
	returning, _ := t.Returning(instance)
	return returning
}

func TestStageCodesKeepTheOrder(t *testing.T) {
	ordered := []Stage{{1, 0, 0}, {1, 5, 0}, {1, 5, 7}, {1, FullLevel, 0}, {2, 0, 0}, {2, 3, 5}, {300, 1, 8}}
	for i, s := range ordered {
		if got := DecodeStage(s.Encode()); got != s {
			t.Errorf("%+v is decoded as %+v", s, got)
		}
		if i > 0 && !s.exceeds(ordered[i-1]) {
			t.Errorf("%+v doesn't exceed %+v", s, ordered[i-1])
		}
	}
}

func TestGoodAnswersEndAReturn(t *testing.T) {
	tr := newTracker(1, nil)
	tr.Begin(at(0), "i")
	for d := time.Duration(0); d < 2*time.Second; d += 50 * time.Millisecond {
		tr.Answered(at(d), at(d-10*time.Millisecond), "i", 1, false)
	}
	if isReturning(tr, "i") {
		t.Errorf("the return goes on at %+v", stage(tr, "i"))
	}
}

func TestSlowAnswersDontRaiseThePace(t *testing.T) {
	tr := newTracker(1, nil)
	tr.Begin(at(0), "i")
	first := stage(tr, "i")
	for d := time.Duration(0); d < 5*time.Second; d += 50 * time.Millisecond {
		tr.Answered(at(d), at(d-10*time.Millisecond), "i", 6, false)
	}
	if s := stage(tr, "i"); s.Level >= first.Level {
		t.Errorf("the level is %d after slow answers, it was %d", s.Level, first.Level)
	}
}

// TestRequestsLostTogetherLowerThePaceOnce guards against a crash that counts once for each
// request in flight.
func TestRequestsLostTogetherLowerThePaceOnce(t *testing.T) {
	tr := newTracker(1, nil)
	tr.Begin(at(0), "i")
	for range 20 {
		tr.Lost(at(time.Second), at(990*time.Millisecond), "i")
	}
	if s := stage(tr, "i"); s.Generation != 2 {
		t.Errorf("20 requests lost together began generation %d, want 2", s.Generation)
	}
}

// TestHarmReplacesLaterRaises guards against a VM that raises the pace without knowledge of
// the harm that another one saw.
func TestHarmReplacesLaterRaises(t *testing.T) {
	a, b := newTracker(1, nil), newTracker(2, nil)
	a.Begin(at(0), "i")
	b.Begin(at(0), "i")
	a.Lost(at(400*time.Millisecond), at(390*time.Millisecond), "i")
	b.Answered(at(500*time.Millisecond), at(490*time.Millisecond), "i", 1, false)
	if stage(b, "i").Level <= stage(a, "i").Level {
		t.Fatal("the second VM didn't raise the pace")
	}
	send(a, b, "a", 600*time.Millisecond)
	send(b, a, "b", 600*time.Millisecond)
	if sa, sb := stage(a, "i"), stage(b, "i"); sa != sb || sa.Generation != 2 {
		t.Errorf("the VMs are at %+v and %+v, want the stage after the harm", sa, sb)
	}
}

// TestOneVMWithoutLinksDoesntSlowTheOthers guards against a VM that has lost its links to
// sound upstreams and reports their returns.
func TestOneVMWithoutLinksDoesntSlowTheOthers(t *testing.T) {
	const now = time.Minute
	a, b, c := newTracker(1, nil), newTracker(2, nil), newTracker(3, nil)
	lose(a, now, "i")
	send(a, c, "a", now)
	if isReturning(c, "i") {
		t.Error("a VM takes over what a single peer reports")
	}
	lose(b, now, "i")
	send(b, c, "b", now)
	if !isReturning(c, "i") {
		t.Error("a VM doesn't take over what two peers report")
	}
}

func TestIsolatedVMsReportsAreIgnored(t *testing.T) {
	a, b := newTracker(1, nil), newTracker(2, nil)
	lose(a, time.Second, "i")
	b.ApplyReport(at(time.Second), time.Second, fleet.Report{Address: "a", Isolated: true, Paces: a.Tick(at(time.Second), time.Second)})
	if isReturning(b, "i") {
		t.Error("the report of an isolated VM began a return")
	}
}

func TestAVMThatJoinsTakesOverThePace(t *testing.T) {
	const now = time.Minute
	a := newTracker(1, nil)
	lose(a, now, "i")
	joiner := NewTracker(DefaultPolicy(), rand.New(rand.NewPCG(4, 1)), at(now), nil)
	joiner.SetVMs(8)
	send(a, joiner, "a", now+time.Second)
	if got, want := stage(joiner, "i"), stage(a, "i"); got != want {
		t.Errorf("the joined VM is at %+v, the others at %+v", got, want)
	}
}

func TestReportsAreBounded(t *testing.T) {
	tr := newTracker(1, nil)
	for i := range 1000 {
		lose(tr, time.Second, fmt.Sprint("i-", i))
	}
	if n := len(tr.Tick(at(time.Second), time.Second)); n > DefaultPolicy().MaxReported {
		t.Errorf("a report holds %d paces, %d allowed", n, DefaultPolicy().MaxReported)
	}
}

// TestNothingIsKeptOfSoundInstances guards against state that grows with the upstreams.
func TestNothingIsKeptOfSoundInstances(t *testing.T) {
	tr := newTracker(1, nil)
	for i := range 1000 {
		id := fmt.Sprint("i-", i)
		tr.Answered(at(0), at(0), id, 9, false)
		tr.Answered(at(time.Second), at(time.Second), id, 1, false)
	}
	lose(tr, time.Second, "gone")
	tr.Retain(map[string]bool{})
	if n := len(tr.entries); n != 0 || tr.Totals().Returning != 0 {
		t.Errorf("%d entries are kept, %d returning", n, tr.Totals().Returning)
	}
}

// TestFleetsWithFewRequestsNeitherFloodNorStarve checks the rate of admitted requests of
// VMs that each get a request every ten seconds, or ten a second.
func TestFleetsWithFewRequestsNeitherFloodNorStarve(t *testing.T) {
	for _, spacing := range []time.Duration{10 * time.Second, 100 * time.Millisecond} {
		const vms = 295
		admitted, offered := 0, 0
		const span = 100 * time.Second
		for v := range vms {
			tr := newTracker(uint64(v), nil)
			tr.SetVMs(vms)
			lose(tr, 0, "i")
			for d := spacing / vms * time.Duration(v); d < span; d += spacing {
				offered++
				if tr.Admit(at(d), "i", spacing) {
					admitted++
				}
			}
		}
		p := DefaultPolicy()
		limit := p.TrialPerSecond*span.Seconds() + float64(offered)*Stage{}.fraction()
		if got := float64(admitted); got > 1.5*limit+10 || got < limit/2 {
			t.Errorf("each %v: %v of %d requests are admitted at level 0, about %.0f expected", spacing, admitted, offered, limit)
		}
	}
}
