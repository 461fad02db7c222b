// Package capacity computes the cost of each duty of a daemon at a given size of
// the fleet of `ryecourse serve`, from slopes that benchmarks of this repository
// measured. The command capacity uses it; it is not part of the product.
//
// The measured points are the raw output of `go test -bench`, kept in
// measured.txt. The package has no I/O besides reading that embedded file.
package capacity

import "math"

// secondsPerDay converts daily counts to rates.
const secondsPerDay = 24 * 60 * 60

// Fleet is the size of a fleet and its load.
type Fleet struct {
	// Name identifies the fleet in the tables.
	Name string
	// Daemons, Zones and Upstreams are the numbers of each in the fleet.
	Daemons, Zones, Upstreams float64
	// Services and Customers are the numbers of each in the configuration.
	Services, Customers float64
	// Files is the number of configuration files.
	Files float64
	// ConnectionsPerUpstream is one upstream's connection limit over all VMs.
	ConnectionsPerUpstream float64
	// QueriesPerSecond is the load of the fleet, and ShardsPerQuery the number
	// of upstream requests of one query.
	QueriesPerSecond, ShardsPerQuery float64
	// ConfigChangesPerDay counts configuration changes, and RestartsPerDay
	// restarts or replacements of VMs.
	ConfigChangesPerDay, RestartsPerDay float64
	// ListChangesPerRestart is the number of VM list changes of one restart.
	ListChangesPerRestart float64
}

// Planned returns the fleet that the capacity page plans for. Every daemon holds
// the whole configuration. The numbers of services, customers and files, the
// connections of an upstream, and the list changes of a restart are assumptions.
func Planned() Fleet {
	return Fleet{
		Name: "planned", Daemons: 2100, Zones: 20, Upstreams: 91000,
		Services: 234, Customers: 2340, Files: 2575, ConnectionsPerUpstream: 30,
		QueriesPerSecond: 2.2e6, ShardsPerQuery: 130,
		ConfigChangesPerDay: 10000, RestartsPerDay: 37000, ListChangesPerRestart: 2,
	}
}

// regions is the number of regions of the planned fleet.
const regions = 8

// Region returns one region of the planned fleet as a separate fleet, with its own
// VM list and configuration folder.
func Region() Fleet {
	f := Planned()
	f.Name = "region"
	f.Daemons /= regions
	f.Zones /= regions
	f.Upstreams /= regions
	f.Services /= regions
	f.Customers /= regions
	f.Files /= regions
	f.QueriesPerSecond /= regions
	f.ConfigChangesPerDay /= regions
	f.RestartsPerDay /= regions
	return f
}

// Today returns one of today's fleets. Its load and its rates of change are
// assumptions.
func Today() Fleet {
	return Fleet{
		Name: "today", Daemons: 9, Zones: 4, Upstreams: 113,
		Services: 4, Customers: 8, Files: 17, ConnectionsPerUpstream: 30,
		QueriesPerSecond: 500, ShardsPerQuery: 15,
		ConfigChangesPerDay: 20, RestartsPerDay: 9, ListChangesPerRestart: 2,
	}
}

// DaemonsPerZone returns the number of daemons of one zone.
func (f Fleet) DaemonsPerZone() float64 { return f.Daemons / f.Zones }

// ConfigChangesPerSecond returns the rate of configuration changes.
func (f Fleet) ConfigChangesPerSecond() float64 { return f.ConfigChangesPerDay / secondsPerDay }

// ListChangesPerSecond returns the rate of changes of the VM list.
func (f Fleet) ListChangesPerSecond() float64 {
	return f.RestartsPerDay * f.ListChangesPerRestart / secondsPerDay
}

// QueriesPerDaemon returns one daemon's queries per second.
func (f Fleet) QueriesPerDaemon() float64 { return f.QueriesPerSecond / f.Daemons }

// AttemptsPerDaemon returns one daemon's upstream requests per second, without
// extra attempts.
func (f Fleet) AttemptsPerDaemon() float64 { return f.QueriesPerDaemon() * f.ShardsPerQuery }

// demandWindowSeconds is the time for which a request makes its customer active at
// a daemon.
const demandWindowSeconds = 2

// ActiveCustomers returns the expected number of customers with requests at one
// daemon within a demand window, if all customers send independent Poisson streams
// of equal rate.
func (f Fleet) ActiveCustomers() float64 {
	each := f.QueriesPerDaemon() * demandWindowSeconds / f.Customers
	return f.Customers * (1 - math.Exp(-each))
}

// Budget is what one daemon may spend on control.
type Budget struct {
	// Cores is the processor time in seconds per second.
	Cores       float64
	MemoryBytes float64
	// BytesPerSecond is the rate of bytes sent to peers.
	BytesPerSecond float64
	// ReadsPerSecond is the rate of reads from the platform by the whole fleet.
	ReadsPerSecond float64
	// PropagationSeconds is the time until a change is active on every daemon.
	PropagationSeconds float64
}

// Target returns the budget of a daemon of the planned fleet.
func Target() Budget {
	return Budget{Cores: 0.014, MemoryBytes: 128 << 20, BytesPerSecond: 8 << 10, ReadsPerSecond: 2000, PropagationSeconds: 11}
}
