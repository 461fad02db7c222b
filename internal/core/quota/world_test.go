package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// world is a fleet under faults with greedy callers. At random moments, each VM
// spends all its tokens, so that a token that two VMs hold is detected.
type world struct {
	fleet  *quotasim.Fleet
	vms    []membership.VM
	curves map[string]*quotasim.Curve
	limits []catalog.Customer
	// pending holds lowered limits that aren't enforced by curves yet.
	pending map[string]catalog.Customer
	nextID  int
	failure string
	// wallSetBackAt is when a wall clock was last set back, and
	// monoStoppedUntil is until when a monotonic clock is stopped.
	wallSetBackAt, monoStoppedUntil map[*quotasim.Node]time.Duration
	// freezeOnLend freezes the next VM that sends a LendRequest, for this time.
	freezeOnLend time.Duration
	// hot is the VM that gets most requests, so that others lend to it.
	hot string
}

// lowerGrace covers the propagation of a lower limit after a partition has
// healed, and the term of loans made under the higher one.
const lowerGrace = 6 * time.Second

// clockGrace is longer than any owned share or loan stays valid.
const clockGrace = 31 * time.Second

func customers() []catalog.Customer {
	return []catalog.Customer{
		{Name: "large", Rate: 200, Burst: 100},
		{Name: "middle", Rate: 20, Burst: 12},
		{Name: "small", Rate: 1, Burst: 2},
	}
}

func newWorld(seed uint64, build func(*quotasim.Fleet)) *world {
	w := &world{
		fleet:            quotasim.NewFleet(seed),
		vms:              quotasim.NineVMs(),
		curves:           make(map[string]*quotasim.Curve),
		limits:           customers(),
		pending:          make(map[string]catalog.Customer),
		nextID:           100,
		wallSetBackAt:    make(map[*quotasim.Node]time.Duration),
		monoStoppedUntil: make(map[*quotasim.Node]time.Duration),
	}
	w.hot = w.vms[int(seed%uint64(len(w.vms)))].ID
	if build != nil {
		build(w.fleet)
	}
	w.fleet.OnAction = w.onAction
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

func (w *world) onAction(n *quotasim.Node, a quota.Action) {
	if _, ok := a.(quota.SendLend); ok && w.freezeOnLend > 0 {
		w.freeze(n, w.freezeOnLend, false)
		w.freezeOnLend = 0
	}
}

func (w *world) rand() *rand.Rand { return w.fleet.Rand }

func (w *world) start(vm membership.VM) {
	n := w.fleet.Start(vm)
	w.fleet.After(w.callInterval(n), n, func() { w.call(n) })
}

// callInterval is long enough at most VMs for tokens to accumulate, and short
// at the hot one.
func (w *world) callInterval(n *quotasim.Node) time.Duration {
	if n.VM.ID == w.hot {
		return time.Duration(w.rand().Int64N(int64(60 * time.Millisecond)))
	}
	return time.Duration(w.rand().Int64N(int64(1500 * time.Millisecond)))
}

func (w *world) call(n *quotasim.Node) {
	w.fleet.After(w.callInterval(n), n, func() { w.call(n) })
	w.checkSum()
	if w.rand().IntN(3) == 0 {
		// Few requests, which show the VM demand but leave it tokens.
		w.spend(n, w.rand().IntN(3))
		return
	}
	w.spend(n, 200)
}

func (w *world) spend(n *quotasim.Node, most int) {
	for _, c := range w.limits {
		for range most {
			d := n.Daemon.Admit(w.fleet.Time(), c.Name)
			if d.ShouldFetch {
				w.fleet.After(time.Microsecond, n, func() { w.fleet.Fetch(n) })
			}
			if !d.OK {
				break
			}
			if !w.curves[c.Name].Admit(w.fleet.Now) {
				w.fail("%s: over its curve by %.3f at %v on %s",
					c.Name, w.curves[c.Name].Excess(), w.fleet.Now, n.VM.ID)
			}
		}
	}
}

// held returns the sum of the curves that VMs apply, by customer.
func (w *world) held() map[string]lease.Share {
	total := make(map[string]lease.Share)
	for _, n := range w.fleet.Nodes {
		m, ok := n.Daemon.(*quota.Manager)
		if !ok {
			return nil
		}
		for _, c := range m.Status(w.fleet.Time()).Customers {
			total[c.Customer] = total[c.Customer].Plus(c.Owned.Minus(c.Lent).Plus(c.Borrowed))
		}
	}
	return total
}

// fail records the first failure.
func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// checkSum checks the invariant that the scheme relies on: at any moment the
// curves that VMs apply sum to at most the limit. It detects a share that two
// VMs hold before callers have spent it twice.
func (w *world) checkSum() {
	total := w.held()
	for name, c := range w.curves {
		const micro = 1_000_000
		if held := total[name]; held.Rate > int64(c.Rate*micro) || held.Capacity > int64(c.Burst*micro) {
			w.fail("%s: VMs hold %.3f/s and %.3f together at %v",
				name, float64(held.Rate)/micro, float64(held.Capacity)/micro, w.fleet.Now)
		}
	}
}

func (w *world) run(d time.Duration) { w.fleet.Run(w.fleet.Now + d) }

func (w *world) pick(c chooser) *quotasim.Node {
	return w.fleet.Nodes[c(len(w.fleet.Nodes))]
}

// listIndex returns the index of the VM in the platform's list, or -1.
func (w *world) listIndex(n *quotasim.Node) int {
	return slices.IndexFunc(w.vms, func(vm membership.VM) bool { return vm.ID == n.VM.ID })
}

// publish makes the platform list w.vms.
func (w *world) publish() { w.fleet.PublishList(w.vms) }

// replace lists a new VM in place of a listed one. It returns false if that
// would violate what docs/design/quota.md assumes of the platform: a zone keeps
// a settled VM through every change of its list.
func (w *world) replace(n *quotasim.Node) bool {
	i := w.listIndex(n)
	if i < 0 || !w.zoneKeepsSettledVM(n) {
		return false
	}
	w.nextID++
	replacement := membership.VM{ID: fmt.Sprintf("vm-%d", w.nextID), Zone: n.VM.Zone}
	w.vms[i] = replacement
	w.publish()
	w.start(replacement)
	return true
}

// zoneKeepsSettledVM reports whether another listed VM of the zone runs and is
// settled.
func (w *world) zoneKeepsSettledVM(n *quotasim.Node) bool {
	for _, o := range w.fleet.Nodes {
		if o != n && o.VM.Zone == n.VM.Zone && w.listIndex(o) >= 0 && o.Daemon.Digest().Settled {
			return true
		}
	}
	return false
}

// kill ends a process and replaces its VM. If the VM can't be replaced now, a
// new process is started on it.
func (w *world) kill(n *quotasim.Node, listLag time.Duration) {
	w.fleet.Kill(n)
	w.fleet.After(listLag, nil, func() {
		if !w.replace(n) && w.listIndex(n) >= 0 {
			w.start(n.VM)
		}
	})
}

// drop makes the platform replace a VM that continues to run for a while.
func (w *world) drop(n *quotasim.Node, runsOn time.Duration) {
	if w.replace(n) {
		w.fleet.After(runsOn, nil, func() { w.fleet.Kill(n) })
	}
}

// leave shuts a process down gracefully and replaces its VM.
func (w *world) leave(n *quotasim.Node, listLag time.Duration) {
	if w.listIndex(n) < 0 {
		return
	}
	w.fleet.After(0, n, func() {
		w.fleet.Leave(n)
		w.fleet.After(time.Second, nil, func() { w.kill(n, listLag) })
	})
}

// freeze suspends a process. With stopped, its monotonic clock stops, which
// must not happen to a VM whose wall clock was set back recently: such a VM
// can't detect that it was suspended.
func (w *world) freeze(n *quotasim.Node, d time.Duration, stopped bool) {
	if w.fleet.Now < n.FrozenUntil || w.fleet.Now < w.wallSetBackAt[n]+clockGrace {
		stopped = false
	}
	if stopped {
		w.monoStoppedUntil[n] = w.fleet.Now + d
	}
	w.fleet.Freeze(n, d, stopped)
	// Many requests arrive first when the process resumes.
	w.fleet.After(d, n, func() { w.spend(n, 200) })
	w.fleet.After(d+time.Millisecond, n, w.checkSum)
}

// stepWallClock moves the wall clock of a VM forward or back, but not back while its
// monotonic clock is stopped.
func (w *world) stepWallClock(n *quotasim.Node, by time.Duration) {
	if by < 0 {
		if w.fleet.Now < w.monoStoppedUntil[n] {
			return
		}
		w.wallSetBackAt[n] = w.fleet.Now
	}
	n.StepWallClock(by)
}

func (w *world) heal() {
	for _, n := range w.fleet.Nodes {
		n.Partition, n.Unreachable, n.PlatformDown, n.MaxRevision = 0, "", false, 0
	}
	w.fleet.Net = quotasim.NewFleet(0).Net
}

// setLimit changes one customer's limit. The curve is the larger of the old and
// the new one until lowerGrace has passed without partitions.
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

// applyPendingLimits checks against the newest limits again, for windows that
// begin now.
func (w *world) applyPendingLimits() {
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

func (w *world) partitionZone(zone string, side int) {
	for _, n := range w.fleet.Nodes {
		if n.VM.Zone == zone {
			n.Partition = side
		}
	}
}

// pinList makes the VM's replica of the platform return no newer list than the
// one that the VM knows.
func (w *world) pinList(n *quotasim.Node) {
	if list := n.Daemon.List(); list != nil {
		n.MaxRevision = list.Revision
	}
}
