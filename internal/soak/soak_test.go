package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

const testSteps = 2500

func TestNothingIsViolated(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		r := Run(seed, testSteps)
		t.Log(r.Summary())
		if r.Violations > 0 {
			t.Errorf("seed %d: %v", seed, r.Reports)
		}
		if r.Answers == 0 {
			t.Errorf("seed %d: no query was answered", seed)
		}
	}
}

// TestSeedsThatFailed replays seeds that once found a violation.
func TestSeedsThatFailed(t *testing.T) {
	for _, c := range []struct {
		seed  uint64
		steps int
		cause string
	}{
		{104729, 3400, "a stale configuration service hid a key's revocation until the file was invalid"},
	} {
		if r := Run(c.seed, c.steps); r.Violations > 0 {
			t.Errorf("seed %d (%s): %v", c.seed, c.cause, r.Reports)
		}
	}
}

func TestSameSeedSameLine(t *testing.T) {
	if a, b := Run(7, 600), Run(7, 600); a.Summary() != b.Summary() || a.Refusals != b.Refusals {
		t.Fatalf("two runs differ: %q and %q", a.Summary(), b.Summary())
	}
}

// randomReplica picks replicas at random, without permits.
type randomReplica struct{ v *vm }

func (p randomReplica) Pick(_ time.Time, service string, shard int, tried []string) (scatter.Target, bool) {
	cat := p.v.disseminator.Catalog()
	for _, i := range rand.New(rand.NewPCG(uint64(p.v.world.queries), 0)).Perm(len(cat.Services[service].Shards[shard].Replicas)) {
		u := cat.Services[service].Shards[shard].Replicas[i]
		if !slices.Contains(tried, u.ID) {
			return scatter.Target{Upstream: u.ID, Address: u.Address}, true
		}
	}
	return scatter.Target{}, false
}

func (randomReplica) Done(time.Time, string, int, scatter.Target, scatter.Report) {}

// TestChecksBite disables one mechanism at a time and requires that the named check
// finds a violation.
func TestChecksBite(t *testing.T) {
	offline := func(v *vm) bool { return v.self.ID < "vm-4" && v.serving }
	cases := map[string]struct {
		hooks hooks
		check string
	}{
		"the full limit on every VM":      {hooks{admit: fullLimit()}, "quota"},
		"replicas without permits":        {hooks{picker: func(v *vm) scatter.Picker { return randomReplica{v} }}, "cold_start"},
		"zones out of service are used":   {hooks{picker: func(v *vm) scatter.Picker { return randomReplica{v} }}, "zone_out_local"},
		"no limit on the age of the view": {hooks{allowStaleView: true, offline: offline}, "key_withdrawn"},
		"no updates for some VMs":         {hooks{offline: offline}, "convergence"},
		"all keys belong to one customer": {hooks{keyOwner: func(cat *catalog.Catalog, _ *catalog.Customer) *catalog.Customer {
			return cat.Customers["tenant-0"]
		}}, "key_owner"},
		"every service is idempotent": {hooks{treatAsIdempotent: true}, "at_most_once"},
		"every refusal says not run":  {hooks{claimNotRun: true}, "not_run"},
		"answers of another snapshot": {hooks{result: func(r *scatter.Result) {
			if r.Report.Outcome == scatter.OutcomeAnswered {
				r.Body = []byte("catalogue/0/other")
			}
		}}, "snapshot"},
		"a wrong shard count": {hooks{result: func(r *scatter.Result) {
			if r.Snapshot.Shards == shardCount {
				r.Snapshot.Shards++
			}
		}}, "coverage"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				if r := runWith(seed, testSteps, tc.hooks); r.ViolationsByCheck[tc.check] > 0 {
					return
				}
			}
			t.Fatalf("check %s did not fail", tc.check)
		})
	}
}

// fullLimit returns an admit hook that gives every VM each customer's whole limit.
func fullLimit() func(v *vm, customer string) bool {
	type key struct {
		v        *vm
		customer string
	}
	buckets := make(map[key]*curve)
	return func(v *vm, customer string) bool {
		whole := v.world.check.curves[customer]
		k := key{v, customer}
		b := buckets[k]
		if b == nil {
			b = &curve{rate: whole.rate, burst: whole.burst, updatedAt: v.world.clock.Now()}
			buckets[k] = b
		}
		now := v.world.clock.Now()
		level := max(b.level-b.rate*now.Sub(b.updatedAt).Seconds(), 0)
		b.level, b.updatedAt = level, now
		if level+1 > b.burst {
			return false
		}
		b.level++
		return true
	}
}
