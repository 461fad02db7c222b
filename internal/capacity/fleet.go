// Package capacity works out what each duty of a daemon costs at a given size
// of the fleet, from slopes that benchmarks of this repository measured.
//
// The measured points are the raw output of `go test -bench`, kept in
// measured.txt. The package has no I/O besides reading that embedded file.
package capacity

import "math"

// secondsPerDay converts daily counts to rates.
const secondsPerDay = 24 * 60 * 60

// Fleet is the size of a fleet and its load.
type Fleet struct {
	// Name heads the columns of the tables.
	Name string
	// Daemons, Zones and Upstreams count the fleet's parts.
	Daemons, Zones, Upstreams float64
	// Services and Customers are what the configuration holds.
	Services, Customers float64
	// Files is the number of configuration files.
	Files float64
	// ConnectionsPerUpstream is the limit of one upstream over all VMs.
	ConnectionsPerUpstream float64
	// QueriesPerSecond is the load of the fleet, and ShardsPerQuery the
	// upstreams that one query asks.
	QueriesPerSecond, ShardsPerQuery float64
	// ConfigChangesPerDay and RestartsPerDay are a day's configuration changes and
	// restarts or replacements of VMs.
	ConfigChangesPerDay, RestartsPerDay float64
	// ListChangesPerRestart is how often one restart changes the VM list.
	ListChangesPerRestart float64
}

// Planned is the size that the page plans for, with every daemon holding the
// whole configuration. The numbers of services, customers and files, the
// connections of an upstream, and the list changes of a restart are assumptions
// of the page.
func Planned() Fleet {
	return Fleet{
		Name: "planned", Daemons: 2100, Zones: 20, Upstreams: 91000,
		Services: 234, Customers: 2340, Files: 2575, ConnectionsPerUpstream: 30,
		QueriesPerSecond: 2.2e6, ShardsPerQuery: 130,
		ConfigChangesPerDay: 10000, RestartsPerDay: 37000, ListChangesPerRestart: 2,
	}
}

// regions is the number of regions of the planned size.
const regions = 8

// Region is one of the regions of the planned size as a fleet of its own, with
// a list and a folder of its own.
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

// Today is the size of one of today's fleets. Its load and its changes are
// assumptions of the page.
func Today() Fleet {
	return Fleet{
		Name: "today", Daemons: 9, Zones: 4, Upstreams: 113,
		Services: 4, Customers: 8, Files: 17, ConnectionsPerUpstream: 30,
		QueriesPerSecond: 500, ShardsPerQuery: 15,
		ConfigChangesPerDay: 20, RestartsPerDay: 9, ListChangesPerRestart: 2,
	}
}

// DaemonsPerZone returns the daemons of one zone.
func (f Fleet) DaemonsPerZone() float64 { return f.Daemons / f.Zones }

// ConfigChangesPerSecond returns the rate of configuration changes.
func (f Fleet) ConfigChangesPerSecond() float64 { return f.ConfigChangesPerDay / secondsPerDay }

// ListChangesPerSecond returns the rate of changes of the VM list.
func (f Fleet) ListChangesPerSecond() float64 {
	return f.RestartsPerDay * f.ListChangesPerRestart / secondsPerDay
}

// QueriesPerDaemon returns one daemon's queries per second.
func (f Fleet) QueriesPerDaemon() float64 { return f.QueriesPerSecond / f.Daemons }

// AttemptsPerDaemon returns one daemon's upstream requests per second, hedges
// left out.
func (f Fleet) AttemptsPerDaemon() float64 { return f.QueriesPerDaemon() * f.ShardsPerQuery }

// demandWindowSeconds is the time in which a customer's requests at a daemon make it
// active there, in seconds.
const demandWindowSeconds = 2

// ActiveCustomers returns the customers with requests at one daemon within a
// demand window, if all send equally much, independently (Poisson).
func (f Fleet) ActiveCustomers() float64 {
	each := f.QueriesPerDaemon() * demandWindowSeconds / f.Customers
	return f.Customers * (1 - math.Exp(-each))
}

// Budget is what one daemon may spend on control.
type Budget struct {
	// Cores is processor time per second of one core.
	Cores float64
	// MemoryBytes is memory.
	MemoryBytes float64
	// BytesPerSecond is what it sends to peers.
	BytesPerSecond float64
	// ReadsPerSecond is of the platform's service, over the whole fleet.
	ReadsPerSecond float64
	// PropagationSeconds is the time for a change to be in force everywhere.
	PropagationSeconds float64
}

// Target returns the budget at the planned size.
func Target() Budget {
	return Budget{Cores: 0.014, MemoryBytes: 128 << 20, BytesPerSecond: 8 << 10, ReadsPerSecond: 2000, PropagationSeconds: 11}
}
