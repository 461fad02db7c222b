package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// world is a fleet under faults with greedy callers. Each VM spends all tokens
// that it has at random moments, so that a token held twice shows.
type world struct {
	fleet  *quotasim.Fleet
	vms    []membership.VM
	curves map[string]*quotasim.Curve
	limits []catalog.Customer
	// loweredAt is when limits were last changed; windows that begin within
	// lowerGrace of it are not judged against the lower limit.
	pending map[string]catalog.Customer
	nextID  int
	failure string
	spent   int
}

// lowerGrace covers the propagation of a lower limit, once a cut has healed,
// and the term of the loans made under the higher one.
const lowerGrace = 6 * time.Second

func customers() []catalog.Customer {
	return []catalog.Customer{
		{Name: "large", Rate: 200, Burst: 100},
		{Name: "middle", Rate: 20, Burst: 12},
		{Name: "small", Rate: 1, Burst: 2},
	}
}

func newWorld(seed uint64, build func(*quotasim.Fleet)) *world {
	w := &world{
		fleet:   quotasim.NewFleet(seed),
		vms:     quotasim.Nine(),
		curves:  make(map[string]*quotasim.Curve),
		limits:  customers(),
		pending: make(map[string]catalog.Customer),
		nextID:  100,
	}
	if build != nil {
		build(w.fleet)
	}
	w.fleet.PublishCatalog(w.limits, quotasim.FourZones())
	w.fleet.PublishList(w.vms)
	for _, c := range w.limits {
		w.curves[c.Name] = &quotasim.Curve{Rate: c.Rate, Burst: c.Burst}
	}
	for _, vm := range w.vms {
		w.start(vm)
	}
	return w
}

func (w *world) rand() *rand.Rand { return w.fleet.Rand }

func (w *world) start(vm membership.VM) {
	n := w.fleet.Start(vm)
	w.fleet.At(w.pause(), n, func() { w.call(n) })
}

// pause is long enough at times for tokens to pile up.
func (w *world) pause() time.Duration {
	if w.rand().IntN(4) == 0 {
		return time.Duration(w.rand().Int64N(int64(2 * time.Second)))
	}
	return time.Duration(w.rand().Int64N(int64(120 * time.Millisecond)))
}

func (w *world) call(n *quotasim.Node) {
	w.fleet.At(w.pause(), n, func() { w.call(n) })
	if w.rand().IntN(3) == 0 {
		// A few requests only, which tell the VM of the demand.
		w.spend(n, w.rand().IntN(3))
		return
	}
	w.spend(n, 200)
}

func (w *world) spend(n *quotasim.Node, most int) {
	for _, c := range w.limits {
		for range most {
			if !n.Daemon.Admit(w.fleet.Time(), c.Name).OK {
				break
			}
			w.spent++
			if !w.curves[c.Name].Admit(w.fleet.Now) && w.failure == "" {
				w.failure = fmt.Sprintf("%s: over its curve by %.3f at %v on %s",
					c.Name, w.curves[c.Name].Excess(), w.fleet.Now, n.VM.ID)
			}
		}
	}
}

func (w *world) run(d time.Duration) { w.fleet.Run(w.fleet.Now + d) }

func (w *world) node(i int) *quotasim.Node {
	return w.fleet.Nodes[i%len(w.fleet.Nodes)]
}

// listed returns the index of the VM in the platform's list, or -1.
func (w *world) listed(n *quotasim.Node) int {
	return slices.IndexFunc(w.vms, func(vm membership.VM) bool { return vm.ID == n.VM.ID })
}

// publish makes the platform list w.vms.
func (w *world) publish() { w.fleet.PublishList(w.vms) }

// replace puts a new VM in the place of a listed one. It returns false if
// that would break what docs/design/quota.md assumes of the platform: a zone
// keeps a settled VM through every change of its list.
func (w *world) replace(n *quotasim.Node) bool {
	i := w.listed(n)
	if i < 0 || !w.zoneKeeps(n) {
		return false
	}
	w.nextID++
	fresh := membership.VM{ID: fmt.Sprintf("vm-%d", w.nextID), Zone: n.VM.Zone}
	w.vms[i] = fresh
	w.publish()
	w.start(fresh)
	return true
}

// zoneKeeps reports whether another listed VM of the zone runs and is settled.
func (w *world) zoneKeeps(n *quotasim.Node) bool {
	for _, o := range w.fleet.Nodes {
		if o != n && o.VM.Zone == n.VM.Zone && w.listed(o) >= 0 && o.Daemon.Digest().Settled {
			return true
		}
	}
	return false
}

// kill ends a process; its VM is replaced unless that isn't allowed now, when
// the process is started again in its place.
func (w *world) kill(n *quotasim.Node, listLag time.Duration) {
	w.fleet.Kill(n)
	w.fleet.At(listLag, nil, func() {
		if !w.replace(n) && w.listed(n) >= 0 {
			w.start(n.VM)
		}
	})
}

// drop makes the platform replace a VM that runs on for a while.
func (w *world) drop(n *quotasim.Node, runsOn time.Duration) {
	if w.replace(n) {
		w.fleet.At(runsOn, nil, func() { w.fleet.Kill(n) })
	}
}

// leave stops a process in good order and replaces its VM.
func (w *world) leave(n *quotasim.Node, listLag time.Duration) {
	if w.listed(n) < 0 {
		return
	}
	w.fleet.At(0, n, func() {
		w.fleet.Leave(n)
		w.fleet.At(time.Second, nil, func() { w.kill(n, listLag) })
	})
}

func (w *world) freeze(n *quotasim.Node, d time.Duration, stopped bool) {
	w.fleet.Freeze(n, d, stopped)
	// The first thing that happens on waking is a rush of callers.
	w.fleet.At(d, n, func() { w.spend(n, 200) })
}

func (w *world) heal() {
	for _, n := range w.fleet.Nodes {
		n.Group, n.PlatformDown, n.Pinned = 0, false, 0
	}
	w.fleet.Net = quotasim.NewFleet(0).Net
}

// setLimit changes one customer's limit. The curve is the larger of the old and
// the new until lowerGrace has passed without cuts.
func (w *world) setLimit(name string, rate, burst float64) {
	i := slices.IndexFunc(w.limits, func(c catalog.Customer) bool { return c.Name == name })
	before := w.limits[i]
	next := slices.Clone(w.limits)
	next[i] = catalog.Customer{Name: name, Rate: rate, Burst: burst}
	w.limits = next
	w.fleet.PublishCatalog(slices.Clone(next), quotasim.FourZones())
	c := w.curves[name]
	c.Rate, c.Burst = max(before.Rate, c.Rate, rate), max(before.Burst, c.Burst, burst)
	w.pending[name] = next[i]
}

// tighten judges by the newest limits again, for windows that begin now.
func (w *world) tighten() {
	for name, c := range w.pending {
		w.curves[name].Change(w.fleet.Now, c.Rate, c.Burst)
		delete(w.pending, name)
	}
}

// restart ends a process and starts another on the same VM.
func (w *world) restart(n *quotasim.Node) {
	w.fleet.Kill(n)
	w.start(n.VM)
}

func (w *world) cutZone(zone string, side int) {
	for _, n := range w.fleet.Nodes {
		if n.VM.Zone == zone {
			n.Group = side
		}
	}
}

// pin makes the VM's replica of the platform give the list that the VM knows
// for good.
func (w *world) pin(n *quotasim.Node) {
	if list := n.Daemon.List(); list != nil {
		n.Pinned = list.Revision
	}
}
