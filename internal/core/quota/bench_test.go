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

// manyVMs returns n VMs spread evenly over the zones.
func manyVMs(n, zones int) []membership.VM {
	vms := make([]membership.VM, n)
	for i := range vms {
		vms[i] = membership.VM{ID: fmt.Sprintf("vm-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%zones)}
	}
	return vms
}

func manyCustomers(n int) []catalog.Customer {
	out := make([]catalog.Customer, n)
	for i := range out {
		out[i] = catalog.Customer{Name: fmt.Sprintf("customer-%04d", i), Rate: 1000, Burst: 2000}
	}
	return out
}

// isolatedManager returns a manager that knows the list but gets no answers
// from peers.
func isolatedManager(vms, zones, customers int) *quota.Manager {
	list := &membership.List{Revision: 1, VMs: manyVMs(vms, zones)}
	m := quota.New(quota.Params{Self: list.VMs[0], Incarnation: 1, Started: quotasim.Epoch})
	c := &catalog.Catalog{Version: 1, Customers: make(map[string]*catalog.Customer), Zones: make(map[string]*catalog.Zone)}
	for _, customer := range manyCustomers(customers) {
		c.Customers[customer.Name] = &customer
	}
	for _, vm := range list.VMs {
		c.Zones[vm.Zone] = &catalog.Zone{Name: vm.Zone}
	}
	m.OnCatalog(quotasim.Epoch, c)
	m.OnList(quotasim.Epoch, list, quotasim.Epoch)
	return m
}

// warmFleet returns a fleet of nine that serves one customer.
func warmFleet(rate float64) *quotasim.Fleet {
	f := quotasim.NewFleet(1)
	f.PublishCatalog([]catalog.Customer{{Name: "x", Rate: rate, Burst: rate}}, quotasim.FourZones())
	f.PublishList(quotasim.NineVMs())
	for _, vm := range quotasim.NineVMs() {
		f.Start(vm)
	}
	f.Run(15 * time.Second)
	return f
}

func BenchmarkAdmit(b *testing.B) {
	f := warmFleet(1e6)
	d := f.Nodes[0].Daemon
	now := f.Time()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Nanosecond)
		d.Admit(now, "x")
	}
}

func BenchmarkAdmitParallel(b *testing.B) {
	f := warmFleet(1e6)
	d := f.Nodes[0].Daemon
	now := f.Time()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			d.Admit(now, "x")
		}
	})
}

// BenchmarkTick measures one tick with demand from every customer on a VM that
// must borrow everything, which is the most expensive case.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ vms, zones, customers int }{
		{9, 4, 10}, {9, 4, 100}, {9, 4, 1000}, {420, 4, 100}, {2100, 20, 100}, {2100, 20, 1000},
	} {
		b.Run(fmt.Sprintf("vms=%d/customers=%d", size.vms, size.customers), func(b *testing.B) {
			m := isolatedManager(size.vms, size.zones, size.customers)
			names := manyCustomers(size.customers)
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

// BenchmarkTickIdle measures one tick without demand.
func BenchmarkTickIdle(b *testing.B) {
	for _, customers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			m := isolatedManager(2100, 20, customers)
			now := quotasim.Epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(quota.TickInterval)
				m.Tick(now)
			}
		})
	}
}

// BenchmarkMemory reports the heap size of one manager.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ vms, zones, customers int }{
		{9, 4, 10}, {9, 4, 1000}, {2100, 20, 10}, {2100, 20, 1000},
	} {
		b.Run(fmt.Sprintf("vms=%d/customers=%d", size.vms, size.customers), func(b *testing.B) {
			var m *quota.Manager
			var before, after runtime.MemStats
			for b.Loop() {
				m = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				m = isolatedManager(size.vms, size.zones, size.customers)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(m)
		})
	}
}
