package pace

import "time"

// entry is what a VM knows of an instance that is returning, has lately returned, or has
// given bad answers since its last good one.
type entry struct {
	instance  string
	returning bool
	stage     Stage
	// enteredAt is when a VM entered the stage; generationAt is when this VM learned of its
	// generation.
	enteredAt, generationAt time.Time
	// found is set if this VM entered the stage itself, not by a report.
	found bool
	// good and slow count the answers since windowAt, at the stage. perSecond is the rate of
	// good answers in the window before. answers is set if the
	// instance is known to have answered well in the generation, or to have started.
	good, slow int
	windowAt   time.Time
	perSecond  float64
	answers    bool
	// bad is the number of bad answers and losses in a row, badAt the time of the last, and
	// lost is set if that was a loss.
	bad   int
	badAt time.Time
	lost  bool
	// goodSentAt is when the newest request that was answered well was sent.
	goodSentAt time.Time
	// ceilingUntil is when the level may reach stage.Ceiling again; ceilings counts them.
	ceilingUntil time.Time
	ceilings     int
	credit       float64   // fraction of a request that is admitted next
	usedAt       time.Time // of the last request or report
	reporter     string    // a peer that reports a return which this VM has not adopted
}

// entry returns the entry of an instance, which it adds if there is none. The caller
// holds mu, as for all functions below.
func (t *Tracker) entry(now time.Time, instance string) *entry {
	e := t.entries[instance]
	if e == nil {
		e = &entry{instance: instance, usedAt: now}
		t.entries[instance] = e
		t.count.Store(int64(len(t.entries)))
	}
	return e
}

func (t *Tracker) drop(e *entry) {
	t.setReturning(e, false)
	delete(t.entries, e.instance)
	t.count.Store(int64(len(t.entries)))
}

// begin begins a return at a level. The first request doesn't wait for a whole credit on
// each VM, nor is it sent by all VMs at once.
func (t *Tracker) begin(now time.Time, e *entry, level int, r Reason) {
	e.credit, e.ceilings = t.rand.Float64(), 0
	t.totals.Begun++
	t.enter(now, e, Stage{Generation: e.stage.Generation + 1, Level: level}, r)
	t.setAnswers(e, r == Started)
}

// enter enters a stage that this VM found.
func (t *Tracker) enter(now time.Time, e *entry, s Stage, r Reason) {
	t.set(now, now, e, s)
	e.found = r != Started // which the announcement tells all VMs
	t.notify(e, r, "")
}

// set changes the stage to one that was entered at enteredAt.
func (t *Tracker) set(now, enteredAt time.Time, e *entry, s Stage) {
	if s.Generation != e.stage.Generation {
		e.generationAt = now
		t.setAnswers(e, false)
		if s.Ceiling > 0 && (s.Ceiling != e.stage.Ceiling || e.stage.Level >= s.Ceiling) {
			e.ceilingUntil = enteredAt.Add(t.policy.CeilingHold << min(e.ceilings, t.policy.MaxHoldDoublings))
			e.ceilings++
		}
	} else if s.Level > e.stage.Level {
		t.setAnswers(e, true)
	}
	t.setReturning(e, s.Level < FullLevel)
	e.stage, e.enteredAt, e.usedAt, e.bad = s, enteredAt, now, 0
	e.startWindow(now)
}

func (t *Tracker) setReturning(e *entry, returning bool) {
	if returning == e.returning {
		return
	}
	e.returning = returning
	t.version.Add(1)
	if returning {
		t.returning++
		return
	}
	t.returning--
	t.totals.Finished++
}

func (t *Tracker) setAnswers(e *entry, answers bool) {
	if answers != e.answers {
		e.answers = answers
		t.version.Add(1)
	}
}

func (e *entry) startWindow(now time.Time) {
	if d := now.Sub(e.windowAt); d > 0 {
		e.perSecond = float64(e.good) / d.Seconds()
	}
	e.good, e.slow, e.windowAt = 0, 0, now
}

func (t *Tracker) notify(e *entry, r Reason, peer string) {
	if t.onChange != nil {
		t.onChange(Change{Instance: e.instance, Stage: e.stage, Fraction: e.stage.fraction(), PerSecond: e.perSecond, Reason: r, Peer: peer})
	}
}

// good records an answer that isn't slow, and raises the level if nearly all were good at
// this stage. One that is neither ends a run of bad answers.
func (t *Tracker) good(now, sentAt time.Time, e *entry, isGood bool) {
	e.bad, e.lost, e.goodSentAt = 0, false, sentAt
	if !e.returning && e.stage.Generation == 0 && e.reporter == "" {
		t.drop(e)
		return
	}
	if !e.returning || sentAt.Before(e.generationAt) {
		return
	}
	e.usedAt = now
	if !isGood {
		return
	}
	e.good++
	t.setAnswers(e, true)
	if now.Sub(e.enteredAt) < t.policy.Dwell || now.Sub(e.windowAt) < t.policy.Dwell {
		return
	}
	if float64(e.slow) <= t.policy.SlowFraction*float64(e.good) {
		t.raise(now, e)
		return
	}
	e.startWindow(now)
}

// raise raises the level, up to HarmStep below the ceiling while that holds.
func (t *Tracker) raise(now time.Time, e *entry) {
	s, step := e.stage, 1
	if s.Ceiling == 0 {
		step = t.policy.FastStep
	}
	s.Level = min(max(s.Level+step, t.policy.StartLevel), FullLevel)
	if s.Ceiling > 0 && now.Before(e.ceilingUntil) {
		s.Level = min(s.Level, s.Ceiling-t.policy.HarmStep)
	}
	if s.Level <= e.stage.Level {
		return
	}
	t.totals.Raised++
	t.enter(now, e, s, Good)
}

// bad records a slow answer, a rejection or a loss.
func (t *Tracker) bad(now, sentAt time.Time, e *entry, r Reason) {
	e.usedAt = now
	if e.returning && sentAt.Before(e.generationAt) {
		return // harm that the last lowering answered
	}
	if r != Lost && e.bad > 0 && now.Sub(e.badAt) < t.policy.SlowSpacing {
		return // the same pause
	}
	e.bad, e.badAt, e.lost = e.bad+1, now, r == Lost
	switch {
	case e.returning && r == Slow:
		e.slow++
		if !e.answers || e.bad >= t.policy.SlowRun {
			t.lower(now, e, 1, r)
		}
	case e.returning:
		t.lower(now, e, t.policy.HarmStep, r)
	case e.bad < t.policy.SlowRun && (r != Lost || e.bad < t.policy.LostRun):
	case r == Lost && e.stage.Generation > 0: // its return ended lately, maybe too fast
		t.lower(now, e, t.policy.HarmStep, r)
	default:
		t.begin(now, e, 0, r)
	}
}

// lower begins a generation at a lower level. Its ceiling is the present level, if the
// instance answered well before it did harm. Harm to trial requests only shows that it is
// out of order, and not what it bears.
func (t *Tracker) lower(now time.Time, e *entry, step int, r Reason) {
	level := max(e.stage.Level-step, 0)
	s := Stage{Generation: e.stage.Generation + 1, Level: level, Ceiling: e.stage.Ceiling}
	if e.answers && e.stage.Level >= t.policy.StartLevel {
		s.Ceiling = e.stage.Level
	}
	if level == e.stage.Level && !e.answers {
		e.generationAt = now // it is as low as it gets
		return
	}
	t.totals.Lowered++
	t.enter(now, e, s, r)
}
