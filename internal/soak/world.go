package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/simclock"
)

const (
	platformZone = "platform"
	vmsAtStart   = 9
	meanLatency  = 500 * time.Microsecond
	// stepTime is the virtual time of one step.
	stepTime = 20 * time.Millisecond
	// requestsPerStep is the maximum number of requests in one step.
	requestsPerStep = 6
)

// epoch is the start of the virtual time.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var zones = []string{"cz-a", "cz-b", "cz-c", "cz-d"}

// hooks replace mechanisms of the product, to show that the checks find violations.
// A nil or false hook leaves the mechanism in place.
type hooks struct {
	// admit decides on a customer's request.
	admit func(v *vm, customer string) bool
	// picker chooses replicas.
	picker func(v *vm) scatter.Picker
	// allowStaleView lets queries use a control view of any age.
	allowStaleView bool
	// treatAsIdempotent treats every service as idempotent.
	treatAsIdempotent bool
	// result changes an upstream's result.
	result func(*scatter.Result)
	// claimNotRun reports every refused query as not run.
	claimNotRun bool
	// keyOwner replaces the customer that a key belongs to.
	keyOwner func(cat *catalog.Catalog, c *catalog.Customer) *catalog.Customer
	// offline reports whether a VM ignores the actions of its disseminator, so that
	// it gets no updates.
	offline func(v *vm) bool
}

// world is the simulated fleet and its environment.
type world struct {
	hooks    hooks
	clock    *simclock.Clock
	rng      *rand.Rand
	started  time.Time
	platform *platform
	check    *checker

	vms         []*vm
	byAddress   map[string]*vm
	nextVM      int
	upstreams   map[string]*upstream
	upstreamIDs []string

	// partitions holds the pairs of zones with a network partition between them.
	partitions map[[2]string]bool
	// lossProbability and duplicateProbability apply to each message between VMs.
	lossProbability, duplicateProbability float64
	// activeFaults counts the active faults; lastFaultEnd is when the last one ended.
	activeFaults int
	lastFaultEnd time.Time

	snapshots map[string]int // shards by ID
	revokedAt map[string]time.Time
	zoneOutAt map[string]time.Time
	customers []*customer
	queries   int
}

func newWorld(seed uint64, h hooks) *world {
	w := &world{
		hooks:      h,
		clock:      simclock.New(epoch),
		rng:        rand.New(rand.NewPCG(seed, 0)),
		byAddress:  make(map[string]*vm),
		upstreams:  make(map[string]*upstream),
		partitions: make(map[[2]string]bool),
		snapshots:  make(map[string]int),
		revokedAt:  make(map[string]time.Time),
		zoneOutAt:  make(map[string]time.Time),
	}
	w.started = w.clock.Now()
	w.check = newChecker(w)
	w.platform = &platform{world: w}
	w.setUp()
	for i := range vmsAtStart {
		w.addVM(zones[i%len(zones)])
	}
	return w
}

func (w *world) addVM(zone string) {
	w.nextVM++
	self := membership.VM{
		ID: fmt.Sprintf("vm-%d", w.nextVM), Zone: zone, PeerAddress: fmt.Sprintf("10.0.%d.%d:1", w.nextVM/256, w.nextVM%256),
	}
	v := newVM(w, self)
	w.vms = append(w.vms, v)
	w.byAddress[self.PeerAddress] = v
	w.publishList()
}

func (w *world) publishList() {
	var list []membership.VM
	for _, v := range w.vms {
		if v.up {
			list = append(list, v.self)
		}
	}
	w.platform.publishList(list)
}

func (w *world) byID(id string) *vm {
	for _, v := range w.vms {
		if v.self.ID == id {
			return v
		}
	}
	return nil
}

func (w *world) seeds() []membership.VM { return nil }

func (w *world) minCoverage() float64 { return [...]float64{0, 0.5, 1}[w.rng.IntN(3)] }

// latency returns an exponentially distributed latency, so that messages overtake
// each other.
func (w *world) latency() time.Duration {
	return time.Duration(float64(meanLatency) * w.rng.ExpFloat64())
}

// deliver delivers one message between VMs. It may be lost or duplicated.
func (w *world) deliver(do func()) {
	if w.rng.Float64() < w.lossProbability {
		return
	}
	w.clock.After(w.latency(), do)
	if w.rng.Float64() < w.duplicateProbability {
		w.clock.After(20*w.latency(), do)
	}
}

func (w *world) partitioned(a, b string) bool { return w.partitions[zonePair(a, b)] }

func zonePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// injectFault makes a fault active for the given time.
func (w *world) injectFault(d time.Duration, begin, end func()) {
	w.activeFaults++
	begin()
	w.clock.After(d, func() {
		end()
		w.activeFaults--
		w.lastFaultEnd = w.clock.Now()
	})
}

// faultFreeSince returns for how long no fault has been active, counted from the
// given time at the earliest.
func (w *world) faultFreeSince(at time.Time) time.Duration {
	if w.activeFaults > 0 {
		return 0
	}
	if w.lastFaultEnd.After(at) {
		at = w.lastFaultEnd
	}
	return w.clock.Now().Sub(at)
}

// dropConnections drops a VM's connections to the upstream and reports the loss to
// the VM's router. Requests on them are lost.
func (w *world) dropConnections(v *vm, u *upstream) {
	if v.connectedInstance[u.id] == 0 {
		return
	}
	v.connectedInstance[u.id] = 0
	v.connectionsLostAt[u.id] = w.clock.Now()
	v.router.OnConnectionsLost(w.clock.Now(), u.id)
}
