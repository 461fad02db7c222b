package connshare

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleetCase is a fleet and the upstreams of one service over shards.
type fleetCase struct {
	vms, zones, executors   int
	shards, replicas, limit int
}

var fleetCases = map[string]fleetCase{
	"a mesh":                         {vms: 9, zones: 4, shards: 25, replicas: 3, limit: 26},
	"32 VMs":                         {vms: 32, zones: 3, executors: 6, shards: 36, replicas: 3, limit: 72},
	"74 VMs":                         {vms: 74, zones: 4, executors: 8, shards: 54, replicas: 3, limit: 69},
	"85 VMs":                         {vms: 85, zones: 4, executors: 8, shards: 54, replicas: 3, limit: 74},
	"295 VMs":                        {vms: 295, zones: 6, executors: 18, shards: 135, replicas: 3, limit: 195},
	"more VMs than all connections":  {vms: 600, zones: 6, executors: 12, shards: 40, replicas: 3, limit: 100},
	"2,100 VMs with many replicas":   {vms: 2100, zones: 6, executors: 132, shards: 3, replicas: 40, limit: 500},
	"more VMs than a service allows": {vms: 14, zones: 2, shards: 8, replicas: 2, limit: 10},
}

// member is a VM of a test.
type member struct {
	name, zone string
	executor   bool
}

func (c fleetCase) members() []member {
	var out []member
	for i := range c.vms {
		out = append(out, member{fmt.Sprintf("10.%d.0.%d:8360", i%c.zones, i), fmt.Sprint("z", i%c.zones), i < c.executors})
	}
	return out
}

// knowledge is what VMs that know the same members compute from them.
type knowledge struct {
	fleet Fleet
	ranks map[string]int
}

func newKnowledge(members []member) *knowledge {
	k := &knowledge{fleet: Fleet{VMs: len(members), ByZone: map[string]int{}}, ranks: map[string]int{}}
	hashes := map[string]uint64{}
	var names []string
	for _, m := range members {
		k.fleet.ByZone[m.zone]++
		names = append(names, m.name)
		hashes[m.name] = (&Fleet{Self: m.name}).hash(Replica{})
		if m.executor {
			k.fleet.Executors++
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(hashes[a], hashes[b]) })
	for i, name := range names {
		k.ranks[name] = i
	}
	return k
}

// shares returns what the VM may open in each shard.
func (c fleetCase) shares(self member, k *knowledge) []map[string]int {
	f := k.fleet
	f.Self, f.Zone, f.IsExecutor, f.Rank = self.name, self.zone, self.executor, k.ranks[self.name]
	var out []map[string]int
	for s := range c.shards {
		out = append(out, f.Shares(c.replicasOf(s), c.limit, true))
	}
	return out
}

func (c fleetCase) replicasOf(shard int) []Replica {
	var out []Replica
	for r := range c.replicas {
		out = append(out, Replica{ID: fmt.Sprintf("s%d-%d", shard, r), Zone: fmt.Sprint("z", (shard+r)%c.zones)})
	}
	return out
}

// TestConnectionsStayWithinTheLimit guards against upstreams that reset the connections of
// VMs that run queries themselves, as executors reject them: the VMs together, each with
// all of its share in use, stay within what an upstream accepts.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	for name, c := range fleetCases {
		t.Run(name, func(t *testing.T) {
			all := c.members()
			known, open := newKnowledge(all), map[string]int{}
			able := 0
			for _, self := range all {
				shards := 0
				for _, shares := range c.shares(self, known) {
					for id, n := range shares {
						open[id] += n
					}
					if len(shares) > 0 {
						shards++
					}
				}
				if shards != 0 && shards != c.shards {
					t.Fatalf("%s has a share of %d of %d shards", self.name, shards, c.shards)
				}
				if shards == c.shards {
					able++
				}
			}
			c.check(t, open)
			if able < min(c.vms, c.limit) {
				t.Errorf("%d of %d VMs can run a query, the limit is %d", able, c.vms, c.limit)
			}
		})
	}
}

func (c fleetCase) check(t *testing.T, open map[string]int) {
	t.Helper()
	largest := 0
	for id, n := range open {
		largest = max(largest, n)
		if n > c.limit {
			t.Errorf("%s gets %d connections and accepts %d", id, n, c.limit)
		}
	}
	t.Logf("at most %d connections of %d", largest, c.limit)
}

// TestConnectionsWhileMembersDiffer kills a third of the VMs, executors among them, and
// adds as many. Half of the VMs know of it.
func TestConnectionsWhileMembersDiffer(t *testing.T) {
	for name, c := range fleetCases {
		t.Run(name, func(t *testing.T) {
			before := c.members()
			seed := rand.Uint64()
			t.Logf("seed %d", seed)
			rng := rand.New(rand.NewPCG(seed, 1))
			rng.Shuffle(len(before), func(i, j int) { before[i], before[j] = before[j], before[i] })
			after := slices.Clone(before[c.vms/3:])
			// Executors are replaced by VMs that live.
			lost := 0
			for _, m := range before[:c.vms/3] {
				if m.executor {
					lost++
				}
			}
			for i := 0; lost > 0 && i < len(after); i++ {
				if !after[i].executor {
					after[i].executor = true
					lost--
				}
			}
			for i := range c.vms / 3 {
				after = append(after, member{name: fmt.Sprintf("10.9.0.%d:8360", i), zone: fmt.Sprint("z", i%c.zones)})
			}
			stale, current, open := newKnowledge(before), newKnowledge(after), map[string]int{}
			for i, self := range after {
				known := current
				if i%2 == 0 && i < len(after)-c.vms/3 { // has learned of no change
					known = stale
					self.executor = before[c.vms/3+i].executor
				}
				for _, shares := range c.shares(self, known) {
					for id, n := range shares {
						open[id] += n
					}
				}
			}
			c.check(t, open)
		})
	}
}

// TestSharesStayWhenVMsLeave guards against connections that are closed and opened again on
// all VMs whenever one comes or goes.
func TestSharesStayWhenVMsLeave(t *testing.T) {
	c := fleetCases["74 VMs"]
	all := c.members()
	stale, current := newKnowledge(all), newKnowledge(all[:c.vms-1])
	changed, total := 0, 0
	for _, self := range all[:c.vms-1] {
		before, after := c.shares(self, stale), c.shares(self, current)
		for s := range before {
			for id, n := range before[s] {
				total++
				if after[s][id] != n {
					changed++
				}
			}
		}
	}
	if changed*c.vms > total {
		t.Errorf("%d of %d shares change as one of %d VMs leaves", changed, total, c.vms)
	}
}

// TestServicesWithoutShardsAreDividedByAllVMs guards against services that each VM calls
// itself, of whose connections the executors had the larger part.
func TestServicesWithoutShardsAreDividedByAllVMs(t *testing.T) {
	for _, isExecutor := range []bool{false, true} {
		f := Fleet{Self: "a", Zone: "z0", VMs: 74, Executors: 8, IsExecutor: isExecutor}
		if got := f.Shares([]Replica{{ID: "u", Zone: "z1"}}, 500, false)["u"]; got != 500*8/10/74 {
			t.Errorf("the share is %d, executor %t", got, isExecutor)
		}
	}
}

// TestUnknownLimitGivesEachVMAConnection guards against a service that no VM reaches, as
// the configuration doesn't state its connections yet.
func TestUnknownLimitGivesEachVMAConnection(t *testing.T) {
	f := Fleet{Self: "a", Zone: "z0", VMs: 74, Executors: 8, Rank: 73}
	if got := f.Shares([]Replica{{ID: "u"}, {ID: "v"}}, 0, true); got["u"] != 1 || got["v"] != 1 {
		t.Errorf("the shares are %v", got)
	}
}
