package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/servicemodel"
	"ryecourse.example/ryecourse/internal/simclock"
)

// The load of a service over shards whose upstreams and zones are uneven. Each shard has
// a replica in each zone, and each zone its own demand.
const (
	unevenZones   = 3
	unevenSlots   = 4
	unevenQueue   = 24
	unevenWarmup  = 2 * time.Second // not counted
	unevenLength  = 8 * time.Second
	inZoneDelay   = 200 * time.Microsecond
	crossingDelay = 700 * time.Microsecond // on top of inZoneDelay
)

// unevenLoad is one play of that load.
type unevenLoad struct {
	seed      uint64
	shards    int
	replicas  int                 // of each shard; in the zones in turn
	kinds     []servicemodel.Kind // three quarters of the requests are of the first
	vms       int                 // that run queries, spread over the zones
	behavior  servicemodel.Behavior
	speeds    []float64 // work factors that the replicas of a shard have in turn
	perSecond float64   // of all zones together
	// swing is the amplitude of each zone's demand, as a fraction of its mean.
	swing float64
	// prepare changes a VM's picker; it may be nil.
	prepare func(*placement.Picker)
}

// unevenResult is what callers get.
type unevenResult struct {
	requests, inTime, failed int
	took                     []time.Duration
}

func (r *unevenResult) inTimeShare() float64 { return float64(r.inTime) / float64(r.requests) }

func (r *unevenResult) mean() time.Duration {
	var sum time.Duration
	for _, d := range r.took {
		sum += d
	}
	return sum / time.Duration(max(len(r.took), 1))
}

func (l unevenLoad) play() *unevenResult {
	start := time.Unix(1_700_000_000, 0)
	clock, rng := simclock.New(start), rand.New(rand.NewPCG(l.seed, 3))
	var kinds []*servicemodel.Kind
	for _, k := range l.kinds {
		kinds = append(kinds, &k)
	}
	upstreams, announced := map[string]*servicemodel.Upstream{}, map[string][]routetable.Upstream{}
	for s := range l.shards {
		service := fmt.Sprint("s", s)
		for _, k := range kinds {
			k.Services = append(k.Services, service)
		}
		for r := range l.replicas {
			a := routetable.Upstream{ID: fmt.Sprintf("%s-%d", service, r), Service: service, Zone: fmt.Sprint("z", r%unevenZones), Slots: l.behavior.Slots}
			b := l.behavior
			b.WorkFactor = 1
			if len(l.speeds) > 0 {
				b.WorkFactor = 1 / l.speeds[(r+s)%len(l.speeds)]
			}
			announced[service] = append(announced[service], a)
			upstreams[a.ID] = servicemodel.NewUpstream(clock, rng, a, b)
		}
	}
	res := &unevenResult{}
	var vms []*servicemodel.VM
	for i := range l.vms {
		zone := fmt.Sprint("z", i%unevenZones)
		p := placement.NewPicker(zone, rand.New(rand.NewPCG(rng.Uint64(), 1)), nil)
		p.Update(start, announced, nil, nil)
		if l.prepare != nil {
			l.prepare(p)
		}
		budget := retrybudget.New(clock.Now, 0.17, retrybudget.Limit{Burst: 170 / float64(l.vms)})
		vm := servicemodel.NewVM(clock, rng, p, budget, upstreams, inZoneDelay)
		vm.Detour = func(u *servicemodel.Upstream) time.Duration {
			if u.Announcement.Zone == zone {
				return 0
			}
			return crossingDelay
		}
		vms = append(vms, vm)
	}
	for z := range unevenZones {
		l.arrivals(rng, z, func(at time.Duration) {
			clock.After(at, func() {
				k := kinds[0]
				if rng.Float64() < 0.25 {
					k = kinds[len(kinds)-1]
				}
				vm := vms[z+unevenZones*rng.IntN(l.vms/unevenZones)]
				vm.Run(k, func(r servicemodel.Result) {
					if at < unevenWarmup {
						return
					}
					res.requests++
					res.took = append(res.took, r.Took)
					if r.InTime() {
						res.inTime++
					}
					if r.Share == 0 {
						res.failed++
					}
				})
			})
		})
	}
	clock.Run(nil)
	return res
}

// arrivals calls arrive with the times of the zone's requests.
func (l unevenLoad) arrivals(rng *rand.Rand, zone int, arrive func(at time.Duration)) {
	const period = 4 * time.Second
	mean := l.perSecond / unevenZones
	peak := mean * (1 + l.swing)
	for at := time.Duration(0); at < unevenWarmup+unevenLength; {
		at += time.Duration(rng.ExpFloat64() * float64(time.Second) / peak)
		phase := 2 * math.Pi * (at.Seconds()/period.Seconds() + float64(zone)/unevenZones)
		if rng.Float64()*peak < mean*(1+l.swing*math.Sin(phase)) {
			arrive(at)
		}
	}
}

var noisy = servicemodel.Behavior{
	Slots: unevenSlots, QueueLimit: unevenQueue, PauseEvery: 3600 * time.Millisecond, PauseLength: 150 * time.Millisecond,
	NoiseFraction: 0.15, NoiseFactor: 2.5, NoisePeriod: 600 * time.Millisecond,
}

var (
	queryKinds = []servicemodel.Kind{
		{Name: "search", MinShare: 0.95, Work: 15 * time.Millisecond, Spread: 0.35, Objective: 150 * time.Millisecond, Timeout: 800 * time.Millisecond, Attempts: 2},
		{Name: "alert", MinShare: 0.85, Work: 5 * time.Millisecond, Spread: 0.35, Objective: 60 * time.Millisecond, Timeout: 300 * time.Millisecond, Attempts: 2},
	}
	historyKind = []servicemodel.Kind{
		{Name: "history", MinShare: 1, Work: 120 * time.Millisecond, Spread: 0.5, Objective: 500 * time.Millisecond, Timeout: 3 * time.Second, Attempts: 2},
	}
)

// drawSeeds returns the seeds of some plays. Loads that are compared have the same.
func drawSeeds(plays int) []uint64 {
	rng := rand.New(rand.NewPCG(33, 2))
	var out []uint64
	for range plays {
		out = append(out, rng.Uint64())
	}
	return out
}

// sum plays the load with each seed and returns the sum of the results.
func (l unevenLoad) sum(seeds []uint64) *unevenResult {
	out := make([]*unevenResult, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		play := l
		play.seed = seed
		wg.Go(func() { out[i] = play.play() })
	}
	wg.Wait()
	sum := &unevenResult{}
	for _, r := range out {
		sum.requests += r.requests
		sum.inTime += r.inTime
		sum.failed += r.failed
		sum.took = append(sum.took, r.took...)
	}
	return sum
}

const (
	// minInTime is the share of requests in time that callers need at loads that the
	// upstreams bear, maxLoss the loss of it that a change may cost them.
	minInTime = 0.95
	maxLoss   = 0.03
)

// TestReportedSlowdownMakesQueriesFaster guards against queries that wait for an upstream
// that has reported to be slow just now, while others of its shard aren't. The code
// before is that without reports.
func TestReportedSlowdownMakesQueriesFaster(t *testing.T) {
	for _, test := range []struct {
		name      string
		vms       int
		perSecond float64
		plays     int
		mustGain  bool
	}{
		{"executors", 6, 105, 12, true}, // single plays differ by more than the gain
		{"executors under high load", 6, 300, 6, false},
		{"VMs with few queries each", 30, 105, 6, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := unevenLoad{shards: 36, replicas: 3, kinds: queryKinds, vms: test.vms, behavior: noisy, perSecond: test.perSecond, swing: 0.55, speeds: []float64{0.8, 1, 1.3}}
			seeds := drawSeeds(test.plays)
			before := l.sum(seeds)
			l.behavior.ReportsSlowdown = true
			after := l.sum(seeds)
			t.Logf("in time %.4f, before %.4f; mean %s, before %s", after.inTimeShare(), before.inTimeShare(), after.mean(), before.mean())
			if after.inTimeShare() < minInTime || after.inTimeShare() < before.inTimeShare()-maxLoss {
				t.Errorf("%.4f of the queries are in time, %.4f before", after.inTimeShare(), before.inTimeShare())
			}
			if test.mustGain && after.mean() >= before.mean() {
				t.Errorf("queries take %s, %s before", after.mean(), before.mean())
			}
		})
	}
}

// TestZonesAtTheirPeakUseOtherZones guards against long requests that wait in a zone at
// its peak while the upstreams of other zones are idle. Each VM has few requests, so that
// it doesn't know the upstreams' load.
func TestZonesAtTheirPeakUseOtherZones(t *testing.T) {
	l := unevenLoad{
		shards: 1, replicas: 8, kinds: historyKind, vms: 72, perSecond: 200, swing: 0.95, speeds: []float64{0.8, 1, 1.3},
		behavior: servicemodel.Behavior{Slots: 6, QueueLimit: 24},
	}
	seeds := drawSeeds(4)
	after := l.sum(seeds)
	l.prepare = (*placement.Picker).UseFixedRemotePenalty
	before := l.sum(seeds)
	t.Logf("in time %.4f, before %.4f; mean %s, before %s", after.inTimeShare(), before.inTimeShare(), after.mean(), before.mean())
	if after.inTimeShare() < minInTime || after.inTimeShare() <= before.inTimeShare() {
		t.Errorf("%.4f of the requests are in time, %.4f before", after.inTimeShare(), before.inTimeShare())
	}
}

// TestIdleZonesKeepTheirRequests guards against requests that cross zones without need.
func TestIdleZonesKeepTheirRequests(t *testing.T) {
	p := placement.NewPicker("z1", rand.New(rand.NewPCG(33, 1)), nil)
	now := time.Unix(1000, 0)
	announced := map[string][]routetable.Upstream{"s": {{ID: "u0", Service: "s", Zone: "z0", Slots: 6}, {ID: "u1", Service: "s", Zone: "z1", Slots: 6}, {ID: "u2", Service: "s", Zone: "z2", Slots: 6}}}
	p.Update(now, announced, nil, nil)
	for _, typical := range []time.Duration{0, time.Millisecond, 15 * time.Millisecond, 120 * time.Millisecond, time.Second} {
		for range 100 {
			a, _ := p.Pick(now, placement.Request{Service: "s", TypicalLatency: typical})
			if a.Upstream.Zone != "z1" {
				t.Fatalf("typical latency %s: a request goes to %s", typical, a.Upstream.Zone)
			}
			p.Done(a, now, placement.Canceled, nil)
		}
	}
}

// TestVMsWithAShareOfOneReplica plays the loss of all executors: each VM runs its own
// queries, with connections to one replica of each shard. Callers must be served as if it
// had connections to all.
func TestVMsWithAShareOfOneReplica(t *testing.T) {
	l := unevenLoad{shards: 36, replicas: 3, kinds: queryKinds, vms: 66, behavior: noisy, perSecond: 120, swing: 0.55, speeds: []float64{0.8, 1, 1.3}}
	l.behavior.ReportsSlowdown = true
	seeds := drawSeeds(4)
	before := l.sum(seeds)
	l.prepare = func(p *placement.Picker) {
		unshared := map[string]bool{}
		for s := range l.shards {
			shared := rand.IntN(l.replicas)
			for r := range l.replicas {
				unshared[fmt.Sprintf("s%d-%d", s, r)] = r != shared
			}
		}
		p.SetUnshared(unshared)
	}
	after := l.sum(seeds)
	t.Logf("in time %.4f, before %.4f; mean %s, before %s", after.inTimeShare(), before.inTimeShare(), after.mean(), before.mean())
	if after.inTimeShare() < minInTime || after.inTimeShare() < before.inTimeShare()-maxLoss {
		t.Errorf("%.4f of the queries are in time, %.4f with all replicas", after.inTimeShare(), before.inTimeShare())
	}
}
