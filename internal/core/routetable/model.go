// Package routetable holds the configuration of the gateway: which request goes
// to which services, for whom, and within which limits.
//
// The package has no I/O. A Table is immutable once it is built.
package routetable

import "time"

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name string
	// Host is the lower-case host name, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most to its caller.
	Objective time.Duration
	// Attempts is the number of upstreams of a service that may run a request.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Targets share the requests by weight. It is empty for a sharded route.
	Targets []Target
	// Sharded is set for a route whose requests go to every shard.
	Sharded *Sharded
}

// Target is one of the services that share a route.
type Target struct {
	Service string
	Weight  float64
}

// Sharded describes how the answers of many shards make one.
type Sharded struct {
	// Shards names the service of each shard.
	Shards []string
	// TopK is the number of records in an answer.
	TopK int
	// MinShare is the least share of shards, 0 to 1, that a success names.
	MinShare float64
}

// Service is a group of upstreams that answer alike.
type Service struct {
	Name string
	// MaxConnections is the limit of each upstream, over all VMs.
	MaxConnections int
	// WarmupPerSecond limits the requests that a cold upstream gets in a second
	// over all VMs; 0 means no limit.
	WarmupPerSecond float64
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
}

// Customer holds keys and a rate.
type Customer struct {
	Name string
	Keys []string
	// Priority replaces that of the route, unless it is nil.
	Priority *int
	// RatePerSecond and Burst limit the requests over all VMs; a rate of 0 means
	// no limit.
	RatePerSecond, Burst float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Upstream is one instance of a service as it has announced itself.
type Upstream struct {
	// ID names the instance; it may come back with a later Born.
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is the number of requests that run at the same time.
	Slots    int
	Draining bool
	// Cold is the time for which the instance stays cold, counted from its
	// latest announcement.
	Cold time.Duration
	// Born is the start of the instance in Unix milliseconds; 0 if it isn't told.
	Born int64
}

// SameInstance reports whether both describe the same run of a program.
func (u Upstream) SameInstance(o Upstream) bool {
	return u.ID == o.ID && u.Born == o.Born && u.Address == o.Address && u.Service == o.Service
}
