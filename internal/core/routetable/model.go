// Package routetable holds the configuration of the gateway: the routes of
// requests to services, the customers, and their limits. `ryecourse gateway` uses
// it. An upstream is an instance of a service, and a slot one request that it runs
// at a time.
//
// The package does no I/O. A Table is immutable once it is built.
package routetable

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	// Host is the lower-case host name, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Objective is the latency objective: an answer within this time has its
	// full value to the caller.
	Objective time.Duration
	// Attempts is the maximum number of upstreams of a service that may run a
	// request.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Targets divide the requests by weight. It is empty for a sharded route.
	Targets []Target
	// Sharded is set for a route whose requests are sent to every shard.
	Sharded *Sharded
}

// Fingerprint identifies what determines how a request of the route is run. Two versions
// of the route with the same fingerprint run it alike.
func (r *Route) Fingerprint() uint64 {
	h := xxhash.New()
	if r.Sharded != nil {
		for _, s := range r.Sharded.Shards {
			_, _ = h.WriteString(s + "\x00") // never fails
		}
		fmt.Fprint(h, r.Sharded.TopK, r.Sharded.MinShare)
	}
	for _, t := range r.Targets {
		fmt.Fprint(h, t.Service, "\x00", t.Weight, "\x00")
	}
	fmt.Fprint(h, "\x00", r.Idempotent, r.Attempts, r.Timeout, r.Objective)
	return h.Sum64()
}

// Target is one of the services that a route's requests are divided among.
type Target struct {
	Service string
	Weight  float64
}

// Sharded configures how the answers of several shards are merged.
type Sharded struct {
	// Shards lists the service of each shard.
	Shards []string
	// TopK is the number of records in an answer.
	TopK int
	// MinShare is the minimum fraction of the shards, 0 to 1, that a successful
	// answer must cover.
	MinShare float64
}

// Service is a group of upstreams that give equivalent answers.
type Service struct {
	Name string
	// MaxConnections is the limit of each upstream, over all VMs.
	MaxConnections int
	// WarmupPerSecond limits the requests per second to a cold upstream, over
	// all VMs. Zero means no limit.
	WarmupPerSecond float64
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
}

// Customer holds a customer's keys, priority and rate limit.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// RatePerSecond and Burst limit the requests over all VMs. A rate of zero
	// means no limit.
	RatePerSecond, Burst float64
}

// Limits holds the size limits and timeouts of callers' requests and
// connections.
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

// Upstream is one instance of a service as it announced itself.
type Upstream struct {
	// ID identifies the instance. A restarted instance may have the same ID and
	// a later Born.
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is the number of requests that run concurrently.
	Slots    int
	Draining bool
	// Cold is the remaining time for which the instance is cold, counted from
	// its latest announcement.
	Cold time.Duration
	// Born is the start time of the instance in Unix milliseconds, or 0 if
	// unknown.
	Born int64
}

// SameInstance reports whether u and o describe the same process.
func (u Upstream) SameInstance(o Upstream) bool {
	return u.ID == o.ID && u.Born == o.Born && u.Address == o.Address && u.Service == o.Service
}
