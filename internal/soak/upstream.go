package soak

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

const (
	upstreamSlots       = 3
	upstreamConnections = 30
	coldPermits         = 1
	// An upstream is warm after warmAfterAnswers answers, but not before
	// warmAfterTime has passed.
	warmAfterAnswers = 8
	warmAfterTime    = 500 * time.Millisecond
	// upstreamQueueLimit is the number of requests beyond its slots that an upstream
	// accepts.
	upstreamQueueLimit = 6
	connectCost        = 6 * time.Millisecond
	meanServiceTime    = 4 * time.Millisecond
	// One request in slowOneIn takes slowFactor times as long.
	slowOneIn  = 50
	slowFactor = 20
)

// upstream is a fake upstream.
type upstream struct {
	world     *world
	id        string
	zone      string
	service   string
	shard     int
	up        bool
	draining  bool
	instance  int
	coldSince time.Time
	answers   int
	running   int
	// snapshots are the snapshots that the upstream has, newest first.
	snapshots []scatter.SnapshotInfo
}

func (u *upstream) cold() bool {
	return u.answers < warmAfterAnswers || u.world.clock.Now().Sub(u.coldSince) < warmAfterTime
}

// start starts a new, cold instance.
func (u *upstream) start() {
	u.up = true
	u.instance++
	u.answers = 0
	u.running = 0
	u.coldSince = u.world.clock.Now()
}

func (u *upstream) crash() { u.up = false }

// snapshotFor returns the snapshot for a request that requires the given ID, or the
// newest one if the ID is empty.
func (u *upstream) snapshotFor(id string) (scatter.SnapshotInfo, bool) {
	if len(u.snapshots) == 0 {
		return scatter.SnapshotInfo{}, id == ""
	}
	if id == "" {
		return u.snapshots[0], true
	}
	for _, s := range u.snapshots {
		if s.ID == id {
			return s, true
		}
	}
	return scatter.SnapshotInfo{}, false
}

// addSnapshot switches the upstream to a new snapshot and keeps the previous one. An
// upstream whose shard isn't in the new snapshot keeps only the old ones.
func (u *upstream) addSnapshot(s scatter.SnapshotInfo) {
	if u.shard >= s.Shards {
		return
	}
	u.snapshots = append([]scatter.SnapshotInfo{s}, u.snapshots...)
	u.snapshots = u.snapshots[:min(len(u.snapshots), 2)]
}

// handle runs a request that has arrived and passes the result to reply.
func (u *upstream) handle(c *call, reply func(scatter.Result)) {
	if c.canceled {
		return // the connection was closed before the request arrived
	}
	u.world.check.checkArrival(u, c)
	out := scatter.Result{Attempt: c.attempt.ID, Verdict: verdict.NotRun}
	out.Report = scatter.Report{Instance: fmt.Sprint(u.instance), Load: float64(u.running) / upstreamSlots, Cold: u.cold()}
	info, ok := u.snapshotFor(c.attempt.Snapshot)
	switch {
	case u.draining:
		out.Report.Outcome = scatter.OutcomeDraining
		reply(out)
		return
	case !ok:
		out.Report.Outcome = scatter.OutcomeSnapshotMissing
		out.Held = u.snapshots
		reply(out)
		return
	case u.running >= upstreamSlots+upstreamQueueLimit:
		out.Report.Outcome = scatter.OutcomeShed
		reply(out)
		return
	}
	u.running++
	u.world.check.checkColdLoad(u)
	u.world.check.recordRun(c.query)
	instance := u.instance
	c.runningInstance = instance
	u.world.clock.After(u.serviceTime(), func() {
		if !u.up || u.instance != instance || c.runningInstance == 0 {
			return // lost or canceled; the VM reports it
		}
		c.runningInstance = 0
		u.running--
		u.answers++
		out.Report.Outcome = scatter.OutcomeAnswered
		out.Verdict = verdict.Ran
		out.Snapshot = info
		out.Body = []byte(content(u.service, u.shard, info.ID))
		reply(out)
	})
}

// cancel stops the work on a canceled request.
func (u *upstream) cancel(c *call) {
	if u.up && c.runningInstance == u.instance {
		c.runningInstance = 0
		u.running--
	}
	c.canceled = true
}

func (u *upstream) serviceTime() time.Duration {
	d := time.Duration(float64(meanServiceTime) * (0.5 + u.world.rng.ExpFloat64()/2))
	if u.world.rng.IntN(slowOneIn) == 0 {
		d *= slowFactor
	}
	if u.running > upstreamSlots {
		d += time.Duration(u.running-upstreamSlots) * meanServiceTime / upstreamSlots
	}
	return d
}

// content returns the answer of the given shard from the given snapshot.
func content(service string, shard int, snapshot string) string {
	return fmt.Sprintf("%s/%d/%s", service, shard, snapshot)
}
