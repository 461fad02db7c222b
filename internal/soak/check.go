package soak

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

const (
	// applyBound is the time within which every VM must apply a change while no
	// fault is active.
	applyBound = 3 * time.Second
	// convergenceBound is the time within which every VM must have the newest
	// configuration version while no fault is active.
	convergenceBound = 5 * time.Second
	// maxReports is the largest number of violations that are described.
	maxReports = 20
)

// checker checks the guarantees and collects violations.
type checker struct {
	world  *world
	curves map[string]*curve
	// Violations counts violations by check; Reports describes the first ones.
	Violations map[string]int
	Reports    []string
	Answers    int
	Refusals   map[verdict.Code]int
}

// curve is the arrival curve of one customer over all VMs, checked with a leaky
// bucket. Every admission adds to the bucket. Its level exceeds its depth exactly
// when some time window has more admissions than the curve allows.
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

// totalViolations returns the number of violations of all checks.
func (c *checker) totalViolations() int {
	n := 0
	for _, v := range c.Violations {
		n += v
	}
	return n
}

// checkRate adds an admission to the customer's curve and requires that the curve
// allows it.
func (c *checker) checkRate(customer string) {
	const epsilon = 1e-6
	k := c.curves[customer]
	now := c.world.clock.Now()
	k.level = max(k.level-k.rate*now.Sub(k.updatedAt).Seconds(), 0) + 1
	k.updatedAt = now
	if k.level > k.burst+epsilon {
		c.fail("quota", "%s exceeds its arrival curve by %.3f requests", customer, k.level-k.burst)
	}
}

// checkKey requires that a request runs for the customer whose key it carries,
// and that a revoked key stops working within applyBound.
func (c *checker) checkKey(q *query, customer string) {
	if customer != q.customer {
		c.fail("key_owner", "request with the key of %s ran for customer %s", q.customer, customer)
	}
	at, ok := c.world.revokedAt[q.key]
	if ok && c.world.faultFreeSince(at) > applyBound {
		c.fail("key_withdrawn", "accepted %s after the revocation", c.world.clock.Now().Sub(at))
	}
}

// checkVersion requires that a VM's configuration version never decreases.
func (c *checker) checkVersion(v *vm, version uint64) {
	if version < v.version {
		c.fail("config_reverted", "%s went from version %d to %d", v.self.ID, v.version, version)
	}
	v.version = version
}

// checkDispatch requires that a VM sends no request to a zone that is out of
// service in its own catalog.
func (c *checker) checkDispatch(v *vm, k *call) {
	cat := v.disseminator.Catalog()
	if z := cat.Zones[k.upstream.zone]; z != nil && z.OutOfService {
		c.fail("zone_out_local", "%s sent a request to %s, whose zone is out of service in its catalog", v.self.ID, k.upstream.id)
	}
}

// checkArrival requires that no request reaches a zone later than applyBound after
// the zone was taken out of service.
func (c *checker) checkArrival(u *upstream, k *call) {
	at, out := c.world.zoneOutAt[u.zone]
	if out && c.world.faultFreeSince(at) > applyBound {
		c.fail("zone_out", "%s received a request %s after its zone was taken out of service", u.id, c.world.clock.Now().Sub(at))
	}
}

// checkColdLoad requires that a cold upstream runs at most coldPermits requests.
func (c *checker) checkColdLoad(u *upstream) {
	if u.cold() && u.running > coldPermits {
		c.fail("cold_start", "%s runs %d requests, %d active faults, cold for %s", u.id, u.running, c.world.activeFaults, c.world.clock.Now().Sub(u.coldSince))
	}
}

// recordRun counts an attempt that an upstream runs. It requires that the query was
// not reported as not run, and that a query that isn't idempotent runs at most
// once.
func (c *checker) recordRun(q *query) {
	q.runs++
	if q.reportedNotRun {
		c.fail("not_run", "query %d ran after it was reported as not run", q.id)
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
		c.fail("not_run", "query %d was reported as not run after %d runs", q.id, q.runs)
	}
}

// checkAnswer requires that all parts come from one snapshot, that parts and
// missing shards add up to the service's shards, and that the content is correct.
func (c *checker) checkAnswer(q *query, a *scatter.Answer) {
	c.Answers++
	seen := make(map[int]bool)
	for _, p := range a.Parts {
		if want := content(q.service.Name, p.Shard, a.Snapshot.ID); string(p.Body) != want {
			c.fail("snapshot", "query %d got part %s, want %s", q.id, p.Body, want)
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

// checkConvergence requires that every serving VM has the newest version published
// more than convergenceBound ago.
func (c *checker) checkConvergence() {
	due := c.dueVersion()
	for _, v := range c.world.vms {
		if v.up && v.serving && v.version < due && c.world.clock.Now().Sub(v.startedAt) > convergenceBound {
			c.fail("convergence", "%s has version %d, want %d", v.self.ID, v.version, due)
		}
	}
}

// dueVersion returns the newest version that every VM must have by now.
func (c *checker) dueVersion() uint64 {
	folders := c.world.platform.folders
	for i := len(folders) - 1; i >= 0; i-- {
		if c.world.faultFreeSince(folders[i].at) > convergenceBound {
			return folders[i].version
		}
	}
	return 0
}
