package soak

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

const (
	leafSlots       = 3
	leafConnections = 30
	coldPermits     = 1
	// coldAnswers and coldTime must both have passed before a leaf is warm.
	coldAnswers = 8
	coldTime    = 500 * time.Millisecond
	// leafQueue is the number of requests beyond the slots that a leaf takes.
	leafQueue   = 6
	connectCost = 6 * time.Millisecond
	meanService = 4 * time.Millisecond
	// slowOneIn of the requests take slowFactor times as long.
	slowOneIn  = 50
	slowFactor = 20
)

// leaf is the fake of an upstream.
type leaf struct {
	world    *world
	id       string
	zone     string
	service  string
	shard    int
	up       bool
	draining bool
	instance int
	coldFrom time.Time
	answers  int
	running  int
	// snapshots are held, newest first.
	snapshots []scatter.SnapshotInfo
}

func (l *leaf) cold() bool {
	return l.answers < coldAnswers || l.world.clock.Now().Sub(l.coldFrom) < coldTime
}

// start begins a new, cold incarnation.
func (l *leaf) start() {
	l.up = true
	l.instance++
	l.answers = 0
	l.running = 0
	l.coldFrom = l.world.clock.Now()
}

func (l *leaf) crash() { l.up = false }

// holds returns the snapshot that a request is answered from.
func (l *leaf) holds(id string) (scatter.SnapshotInfo, bool) {
	if len(l.snapshots) == 0 {
		return scatter.SnapshotInfo{}, id == ""
	}
	if id == "" {
		return l.snapshots[0], true
	}
	for _, s := range l.snapshots {
		if s.ID == id {
			return s, true
		}
	}
	return scatter.SnapshotInfo{}, false
}

// take switches the leaf to a new snapshot and keeps the one before. A leaf
// whose shard the new one lacks goes on with the old ones only.
func (l *leaf) take(s scatter.SnapshotInfo) {
	if l.shard >= s.Shards {
		return
	}
	l.snapshots = append([]scatter.SnapshotInfo{s}, l.snapshots...)
	l.snapshots = l.snapshots[:min(len(l.snapshots), 2)]
}

// handle runs a request that has arrived and answers it through reply.
func (l *leaf) handle(c *call, reply func(scatter.Result)) {
	if c.stopped {
		return // the connection was closed before the request came
	}
	l.world.check.arrival(l, c)
	out := scatter.Result{Attempt: c.attempt.ID, Verdict: verdict.NotRun}
	out.Report = scatter.Report{Instance: fmt.Sprint(l.instance), Load: float64(l.running) / leafSlots, Cold: l.cold()}
	info, ok := l.holds(c.attempt.Snapshot)
	switch {
	case l.draining:
		out.Report.Outcome = scatter.OutcomeDraining
		reply(out)
		return
	case !ok:
		out.Report.Outcome = scatter.OutcomeSnapshotMissing
		out.Held = l.snapshots
		reply(out)
		return
	case l.running >= leafSlots+leafQueue:
		out.Report.Outcome = scatter.OutcomeShed
		reply(out)
		return
	}
	l.running++
	l.world.check.running(l)
	l.world.check.ran(c.query)
	instance := l.instance
	c.runningIn = instance
	l.world.clock.After(l.serviceTime(), func() {
		if !l.up || l.instance != instance || c.runningIn == 0 {
			return // lost or canceled; the caller's side reports it
		}
		c.runningIn = 0
		l.running--
		l.answers++
		out.Report.Outcome = scatter.OutcomeAnswered
		out.Verdict = verdict.Ran
		out.Snapshot = info
		out.Body = []byte(content(l.service, l.shard, info.ID))
		reply(out)
	})
}

// stop ends the work on a canceled request.
func (l *leaf) stop(c *call) {
	if l.up && c.runningIn == l.instance {
		c.runningIn = 0
		l.running--
	}
	c.stopped = true
}

func (l *leaf) serviceTime() time.Duration {
	d := time.Duration(float64(meanService) * (0.5 + l.world.rng.ExpFloat64()/2))
	if l.world.rng.IntN(slowOneIn) == 0 {
		d *= slowFactor
	}
	if l.running > leafSlots {
		d += time.Duration(l.running-leafSlots) * meanService / leafSlots
	}
	return d
}

// content is what the given shard answers from the given snapshot.
func content(service string, shard int, snapshot string) string {
	return fmt.Sprintf("%s/%d/%s", service, shard, snapshot)
}
