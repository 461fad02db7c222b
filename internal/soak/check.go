package soak

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

const (
	// applyBound is the time after which a change must be acted on everywhere while
	// nothing is wrong.
	applyBound = 3 * time.Second
	// convergenceBound is the time after which all daemons have the newest version
	// while nothing is wrong.
	convergenceBound = 5 * time.Second
	// maxReports bounds the violations that are described.
	maxReports = 20
)

// checker holds the oracles.
type checker struct {
	world  *world
	curves map[string]*curve
	// Violations counts by name, Reports describes the first ones.
	Violations map[string]int
	Reports    []string
	Answers    int
	Refusals   map[verdict.Code]int
}

// curve is the arrival curve of one customer over all VMs: a leaky bucket that
// is fed by every admission is over its depth exactly when some window holds
// more than the curve allows.
type curve struct {
	rate, burst float64
	level       float64
	updatedAt   time.Time
}

func newChecker(w *world) *checker {
	return &checker{world: w, curves: make(map[string]*curve), Violations: make(map[string]int), Refusals: make(map[verdict.Code]int)}
}

func (c *checker) fail(name, format string, args ...any) {
	c.Violations[name]++
	if len(c.Reports) < maxReports {
		at := c.world.clock.Now().Sub(c.world.started)
		c.Reports = append(c.Reports, fmt.Sprintf("%s at %s: %s", name, at, fmt.Sprintf(format, args...)))
	}
}

// totalViolations counts all violations.
func (c *checker) totalViolations() int {
	n := 0
	for _, v := range c.Violations {
		n += v
	}
	return n
}

// checkRate feeds the customer's curve.
func (c *checker) checkRate(customer string) {
	const epsilon = 1e-6
	k := c.curves[customer]
	now := c.world.clock.Now()
	k.level = max(k.level-k.rate*now.Sub(k.updatedAt).Seconds(), 0) + 1
	k.updatedAt = now
	if k.level > k.burst+epsilon {
		c.fail("quota", "%s is %.3f over", customer, k.level-k.burst)
	}
}

// checkKey requires that the request runs for the customer whose key came
// with it, and not long after the key was withdrawn.
func (c *checker) checkKey(q *query, customer string) {
	if customer != q.customer {
		c.fail("key_owner", "key of %s ran for %s", q.customer, customer)
	}
	at, ok := c.world.revokedAt[q.key]
	if ok && c.world.faultFreeSince(at) > applyBound {
		c.fail("key_withdrawn", "accepted %s after the withdrawal", c.world.clock.Now().Sub(at))
	}
}

// checkVersion requires that versions only grow.
func (c *checker) checkVersion(v *vm, version uint64) {
	if version < v.version {
		c.fail("config_reverted", "%s went from %d to %d", v.self.ID, v.version, version)
	}
	v.version = version
}

// checkDispatch requires that new work follows the VM's own newest catalog.
func (c *checker) checkDispatch(v *vm, k *call) {
	cat := v.disseminator.Catalog()
	if z := cat.Zones[k.upstream.zone]; z != nil && z.OutOfService {
		c.fail("zone_out_local", "%s sent to %s", v.self.ID, k.upstream.id)
	}
}

// checkArrival requires that no new work reaches a zone long after it was taken out.
func (c *checker) checkArrival(u *upstream, k *call) {
	at, out := c.world.zoneOutAt[u.zone]
	if out && c.world.faultFreeSince(at) > applyBound {
		c.fail("zone_out", "%s got work %s after", u.id, c.world.clock.Now().Sub(at))
	}
}

// checkColdLoad requires that a cold leaf bears what it runs.
func (c *checker) checkColdLoad(u *upstream) {
	if u.cold() && u.running > coldPermits {
		c.fail("cold_start", "%s runs %d, %d things wrong, cold for %s", u.id, u.running, c.world.activeFaults, c.world.clock.Now().Sub(u.coldSince))
	}
}

// recordRun counts the upstreams that ran a query.
func (c *checker) recordRun(q *query) {
	q.runs++
	if q.reportedNotRun {
		c.fail("not_run", "query %d ran after its refusal", q.id)
	}
	if !q.service.Idempotent && q.runs > 1 {
		c.fail("at_most_once", "query %d ran %d times", q.id, q.runs)
	}
}

func (c *checker) checkRefusal(q *query, r *verdict.Refusal) {
	c.Refusals[r.Code]++
	if r.Verdict != verdict.NotRun {
		return
	}
	q.reportedNotRun = true
	if q.runs > 0 {
		c.fail("not_run", "query %d had run %d times", q.id, q.runs)
	}
}

// checkAnswer requires one snapshot, true coverage and the right content.
func (c *checker) checkAnswer(q *query, a *scatter.Answer) {
	c.Answers++
	seen := make(map[int]bool)
	for _, p := range a.Parts {
		if want := content(q.service.Name, p.Shard, a.Snapshot.ID); string(p.Body) != want {
			c.fail("snapshot", "query %d got %s for %s", q.id, p.Body, want)
		}
		seen[p.Shard] = true
	}
	for _, s := range a.Missing {
		seen[s] = true
	}
	shards := len(q.service.Shards)
	if q.service.Snapshots {
		shards = c.world.snapshots[a.Snapshot.ID]
	}
	if q.service.SingleShard {
		shards = 1
	}
	if len(seen) != shards || len(a.Parts)+len(a.Missing) != shards {
		c.fail("coverage", "query %d: %d parts and %d missing of %d shards", q.id, len(a.Parts), len(a.Missing), shards)
	}
}

// checkConvergence requires that every serving VM has each version that has been out for
// long enough.
func (c *checker) checkConvergence() {
	due := c.dueVersion()
	for _, v := range c.world.vms {
		if v.up && v.serving && v.version < due && c.world.clock.Now().Sub(v.startedAt) > convergenceBound {
			c.fail("convergence", "%s has version %d, not %d", v.self.ID, v.version, due)
		}
	}
}

// dueVersion returns the newest version that every VM must have.
func (c *checker) dueVersion() uint64 {
	folders := c.world.platform.folders
	for i := len(folders) - 1; i >= 0; i-- {
		if c.world.faultFreeSince(folders[i].at) > convergenceBound {
			return folders[i].version
		}
	}
	return 0
}
