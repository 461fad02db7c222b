package quota_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// timedManager measures the time that a VM's control goroutine spends in the
// manager.
type timedManager struct {
	*quota.Manager
	elapsed *time.Duration
}

func (t timedManager) stop(start time.Time) { *t.elapsed += time.Since(start) }

func (t timedManager) Tick(now time.Time) []quota.Action {
	defer t.stop(time.Now())
	return t.Manager.Tick(now)
}

func (t timedManager) Fetch(now time.Time) []quota.Action {
	defer t.stop(time.Now())
	return t.Manager.Fetch(now)
}

func (t timedManager) OnDigest(now, sentAt time.Time, d quota.Digest) []quota.Action {
	defer t.stop(time.Now())
	return t.Manager.OnDigest(now, sentAt, d)
}

func (t timedManager) OnProbe(now time.Time, from quota.Digest) (quota.Digest, []quota.Action) {
	defer t.stop(time.Now())
	return t.Manager.OnProbe(now, from)
}

func (t timedManager) OnLend(now time.Time, r quota.LendRequest) (quota.LendResponse, []quota.Action) {
	defer t.stop(time.Now())
	return t.Manager.OnLend(now, r)
}

func (t timedManager) OnLendResponse(now time.Time, lender string, r quota.LendResponse) []quota.Action {
	defer t.stop(time.Now())
	return t.Manager.OnLendResponse(now, lender, r)
}

// actionCounts counts a fleet's messages and actions.
type actionCounts struct {
	probes, lends, wants, releases, returns, audits float64
	admitted, refused                               float64
	probed                                          map[string]int
}

func (c *actionCounts) record(_ *quotasim.Node, a quota.Action) {
	switch a := a.(type) {
	case quota.SendProbe:
		c.probes++
		c.probed[a.To.ID]++
	case quota.SendLend:
		c.lends++
		c.wants += float64(len(a.Request.Requests))
	case quota.SendRelease:
		c.releases++
		c.returns += float64(len(a.Release.Returned))
	case quota.Audit:
		c.audits++
	}
}

func capacityVMs(zones, size int) ([]membership.VM, []string) {
	var vms []membership.VM
	var names []string
	for i := range zones {
		names = append(names, fmt.Sprintf("z%02d", i))
	}
	for i := range size {
		vms = append(vms, membership.VM{ID: fmt.Sprintf("vm-%04d", i), Zone: names[i%zones]})
	}
	return vms, names
}

func capacityCustomers(n int, rate float64) []catalog.Customer {
	var out []catalog.Customer
	for i := range n {
		out = append(out, catalog.Customer{Name: fmt.Sprintf("customer-%04d", i), Rate: rate, Burst: rate})
	}
	return out
}

// runFleet runs a fleet with even demand, at half of each customer's limit, and
// reports the costs per VM and virtual second.
func runFleet(b *testing.B, vms []membership.VM, zones []string, customers int, rate float64, settleTime, measured time.Duration) {
	limits := capacityCustomers(customers, rate)
	var elapsed time.Duration
	var count actionCounts
	f := quotasim.NewFleet(1)
	f.New = func(p quota.Params) quotasim.Daemon { return timedManager{quota.New(p), &elapsed} }
	f.PublishCatalog(limits, zones)
	f.PublishList(vms)
	for _, vm := range vms {
		c := newCaller(f, f.Start(vm), limits, len(vms), &count)
		f.After(time.Duration(f.Rand.Int64N(int64(callerStep))), c.node, c.step)
	}
	f.Run(settleTime)
	count = actionCounts{probed: make(map[string]int)}
	f.OnAction = count.record
	elapsed = 0
	f.Run(settleTime + measured)
	per := float64(len(vms)) * measured.Seconds()
	most := 0
	for _, n := range count.probed {
		most = max(most, n)
	}
	const percent = 100
	b.ReportMetric(percent*count.refused/(count.admitted+count.refused), "%-refused")
	b.ReportMetric(count.probes/per, "probes/s")
	b.ReportMetric(float64(most)/measured.Seconds(), "probed-most/s")
	b.ReportMetric(count.lends/per, "lends/s")
	b.ReportMetric(count.wants/per, "wants/s")
	b.ReportMetric(count.releases/per, "releases/s")
	b.ReportMetric(count.returns/per, "returns/s")
	b.ReportMetric(count.audits/per, "audits/s")
	b.ReportMetric(float64(elapsed.Nanoseconds())/per, "ctl-ns/s")
}

// caller sends requests to one VM, for each customer at an even part of half
// its rate, so that no request exceeds a limit. It waits for fetched tokens
// like a daemon does.
type caller struct {
	fleet  *quotasim.Fleet
	node   *quotasim.Node
	limits []catalog.Customer
	vms    int
	count  *actionCounts
	// accrued holds each customer's fraction of its next request. It starts at
	// a random value, so that the requests of VMs and customers don't coincide.
	accrued        []float64
	fetchScheduled bool
}

const (
	callerStep = 20 * time.Millisecond
	// fetchDelay is the delay until the control goroutine fetches tokens.
	fetchDelay = 100 * time.Microsecond
)

func newCaller(f *quotasim.Fleet, n *quotasim.Node, limits []catalog.Customer, vms int, count *actionCounts) *caller {
	c := &caller{fleet: f, node: n, limits: limits, vms: vms, count: count, accrued: make([]float64, len(limits))}
	for i := range c.accrued {
		c.accrued[i] = f.Rand.Float64()
	}
	return c
}

func (c *caller) step() {
	c.fleet.After(callerStep, c.node, c.step)
	for i := range c.limits {
		c.accrued[i] += c.limits[i].Rate / 2 / float64(c.vms) * callerStep.Seconds()
		for ; c.accrued[i] >= 1; c.accrued[i]-- {
			c.resolve(c.limits[i].Name, c.node.Daemon.Admit(c.fleet.Time(), c.limits[i].Name), quota.FetchTimeout)
		}
	}
}

// resolve counts the request, or retries it for the remaining time.
func (c *caller) resolve(name string, d quota.Decision, remaining time.Duration) {
	switch {
	case d.OK:
		c.count.admitted++
	case !d.ShouldFetch || remaining <= 0:
		c.count.refused++
	default:
		c.fetchSoon()
		c.fleet.After(quota.FetchRetryInterval, c.node, func() {
			c.resolve(name, c.node.Daemon.RetryAdmit(c.fleet.Time(), name), remaining-quota.FetchRetryInterval)
		})
	}
}

func (c *caller) fetchSoon() {
	if c.fetchScheduled {
		return
	}
	c.fetchScheduled = true
	c.fleet.After(fetchDelay, c.node, func() {
		c.fetchScheduled = false
		c.fleet.Fetch(c.node)
	})
}

const (
	// evenRate is a customer's limit in requests per second.
	evenRate      = 400.0
	fleetWarmUp   = 12 * time.Second
	fleetMeasured = 6 * time.Second
)

// BenchmarkFleetCustomers reports the costs of active customers in a fleet of 9.
func BenchmarkFleetCustomers(b *testing.B) {
	for _, customers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			for b.Loop() {
				runFleet(b, quotasim.NineVMs(), quotasim.FourZones(), customers, evenRate, fleetWarmUp, fleetMeasured)
			}
		})
	}
}

// BenchmarkFleetVMs reports the costs of the slots of one customer by the size
// of the fleet.
func BenchmarkFleetVMs(b *testing.B) {
	for _, size := range []struct{ zones, vms int }{{4, 9}, {4, 40}, {4, 100}, {4, 200}, {4, 420}} {
		b.Run(fmt.Sprintf("vms=%d", size.vms), func(b *testing.B) {
			vms, zones := capacityVMs(size.zones, size.vms)
			for b.Loop() {
				runFleet(b, vms, zones, 1, evenRate, 40*time.Second, 3*time.Second)
			}
		})
	}
}

// BenchmarkFleetZones reports the costs of the slots of one customer by the number
// of zones of ten VMs.
func BenchmarkFleetZones(b *testing.B) {
	const zoneVMs = 10
	for _, count := range []int{4, 10, 20} {
		b.Run(fmt.Sprintf("zones=%d", count), func(b *testing.B) {
			vms, zones := capacityVMs(count, count*zoneVMs)
			for b.Loop() {
				runFleet(b, vms, zones, 1, evenRate, 40*time.Second, 3*time.Second)
			}
		})
	}
}

// BenchmarkFleetLending reports the costs of active customers in fleets whose
// zones have 105 VMs, so that most VMs hold no slot and borrow: with half a
// request a second for each customer at each VM, and with 3.6.
func BenchmarkFleetLending(b *testing.B) {
	for _, shape := range []struct {
		zones int
		rate  float64
	}{{4, evenRate}, {2, 1504}} {
		for _, customers := range []int{1, 10, 30} {
			const zoneVMs = 105
			b.Run(fmt.Sprintf("zones=%d/customers=%d", shape.zones, customers), func(b *testing.B) {
				vms, zones := capacityVMs(shape.zones, shape.zones*zoneVMs)
				for b.Loop() {
					runFleet(b, vms, zones, customers, shape.rate, 40*time.Second, 3*time.Second)
				}
			})
		}
	}
}

// BenchmarkOnList measures a new list of VMs.
func BenchmarkOnList(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			vms, _ := capacityVMs(20, size)
			m := quota.New(quota.Params{Self: vms[0], Incarnation: 1, Started: quotasim.Epoch})
			revision := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				m.OnList(quotasim.Epoch, &membership.List{Revision: revision, VMs: vms}, quotasim.Epoch)
			}
		})
	}
}

// BenchmarkTickVMs measures a tick by the number of VMs, without customers.
func BenchmarkTickVMs(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			vms, _ := capacityVMs(20, size)
			m := quota.New(quota.Params{Self: vms[0], Incarnation: 1, Started: quotasim.Epoch})
			m.OnList(quotasim.Epoch, &membership.List{Revision: 1, VMs: vms}, quotasim.Epoch)
			now := quotasim.Epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				m.Tick(now)
			}
		})
	}
}

// BenchmarkTickActive measures a tick of a VM that holds no slot, with requests
// of every customer, in a fleet of 2,100 VMs.
func BenchmarkTickActive(b *testing.B) {
	for _, customers := range []int{10, 100, 1000, 2340} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			m := isolatedManager(2100, 20, customers)
			names := manyCustomers(customers)
			now := quotasim.Epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(quota.TickInterval)
				for i := range names {
					m.Admit(now, names[i].Name)
				}
				m.Tick(now)
			}
		})
	}
}

// BenchmarkCustomers measures a tick and a new configuration by the number of
// customers without requests, and the memory of each.
func BenchmarkCustomers(b *testing.B) {
	for _, customers := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			_, zones := capacityVMs(20, 0)
			c := &catalog.Catalog{Version: 1, Customers: map[string]*catalog.Customer{}, Zones: map[string]*catalog.Zone{}}
			limits := capacityCustomers(customers, evenRate)
			for i := range limits {
				c.Customers[limits[i].Name] = &limits[i]
			}
			for _, z := range zones {
				c.Zones[z] = &catalog.Zone{Name: z}
			}
			before := heapInUse()
			m := quota.New(quota.Params{Self: membership.VM{ID: "vm", Zone: zones[0]}, Incarnation: 1, Started: quotasim.Epoch})
			m.OnCatalog(quotasim.Epoch, c)
			held := heapInUse() - before
			now := quotasim.Epoch
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				m.Tick(now)
			}
			b.ReportMetric(float64(held), "B-held")
			start := time.Now()
			const changes = 5
			for range changes {
				c.Version++
				m.OnCatalog(now, c)
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/changes, "ns/change")
		})
	}
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var _ quotasim.Daemon = timedManager{}
