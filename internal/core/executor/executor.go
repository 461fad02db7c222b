// Package executor chooses the VM that runs a request for the VM that received it.
// `ryecourse gateway` uses it.
//
// There are two reasons to have another VM run a request. In a large fleet a few VMs,
// the executors, run the queries over many shards of all others. In a fleet of any size
// a VM that reaches no upstream, see package reachability, has others run all of its
// requests; these are its helpers.
//
// # Executors
//
// It answers the load of a large fleet of small VMs. Each of them receives a query
// every few seconds, so that its connections to the upstreams are closed between two
// queries, what it has observed of the upstreams is old, and its processor takes longer
// to send a query to all shards than the upstreams take to answer. A few VMs with more
// processor time, the executors, therefore run the queries of all VMs. The others send
// a query to an executor in a zone with the shards' upstreams, so that one merged
// response crosses zones in place of those of all shards, and run it themselves if no
// executor accepts it.
//
// The package has no I/O; callers pass the time.
package executor

import (
	"slices"
	"sync"
	"time"
)

// Request is a caller's request that another VM is asked to run.
type Request struct {
	ID    string
	Route string
	// RouteFingerprint and ExecutionFingerprint are those of the sender's version of the
	// route. The latter is 0 if the sender's build is older than that fingerprint.
	RouteFingerprint, ExecutionFingerprint uint64
	// ConfigVersion is the version of the sender's configuration.
	ConfigVersion int64
	Customer      string
	// KeyDigest is routetable.KeyDigest of the customer's key; 0 without a key, and from
	// older builds.
	KeyDigest uint64
	// Late is set if the caller has waited so long in earlier tries that the request can
	// hardly be answered within its latency objective.
	Late   bool
	Method string
	// Host and Path are those of the request, without a query. They are sent with Accept, but
	// not by older builds; with Execute they are in Head, which is the request line and the
	// headers that all attempts share.
	Host, Path string
	Head, Body []byte
	// Fingerprint identifies requests that are the same to an upstream.
	Fingerprint uint64
	// SoftTimeout is the time after which a sufficient partial result is returned;
	// Timeout is the time after which the query is given up.
	SoftTimeout, Timeout time.Duration
	// MaxRuns is the number of upstreams, by shard, that may run the request.
	MaxRuns int
	// HandedOver is set if the sender has tried to run the request itself.
	HandedOver bool
}

// Header is one header of an upstream's response.
type Header struct{ Name, Value string }

// Result is the outcome of a request.
type Result struct {
	// Failure is why there is no response to pass on; empty on success.
	Failure string
	// NotRun is set if no upstream may have run the request.
	NotRun bool
	// RetryAfter is how long the caller of a failed query that hasn't run should wait
	// before it retries.
	RetryAfter time.Duration
	// Status and Headers are those of the upstream's response; 0 and empty if Body was
	// merged from shards.
	Status  int
	Headers []Header
	Body    []byte
	// Signatures are those of the upstreams whose responses were merged; Missing names
	// the services without a response.
	Signatures, Missing []string

	// Upstreams are the instances of the attempts of a request to one service.
	Upstreams []string

	Answered, Attempts, Hedges, DeniedByBudget, WithoutUpstream, AtLimit int
	// LastError is the last error of an attempt, or empty.
	LastError string
}

const (
	// maxCandidates is the number of executors that are tried before a VM runs a
	// query itself.
	maxCandidates = 2
	// maxHelpers is the number of helpers that are tried before a VM that reaches no
	// upstream runs the request itself.
	maxHelpers = 6
	// minOwnZoneHelpers is the number of helpers in a VM's own zone, as a fraction of
	// the zone's other VMs, from which those of other zones come last. With fewer, they
	// would carry far more than VMs in other zones.
	minOwnZoneHelpers = 0.5
	// avoidPeriod is how long an executor that didn't accept a query is avoided. It
	// is about the time after which reports show that a VM is down.
	avoidPeriod = 2 * time.Second
)

// Directory holds the executors of the fleet as one VM sees them. It is safe for
// concurrent use.
type Directory struct {
	self, zone string

	mu      sync.Mutex
	byZone  map[string][]string  // executors
	helpers map[string][]string  // by zone
	ownZone int                  // other VMs in this VM's zone
	avoided map[string]time.Time // until when, by address
	turns   int
}

// NewDirectory returns an empty directory of a VM. turn is where its rotation through
// the executors begins; it should differ between VMs.
func NewDirectory(self, zone string, turn int) *Directory {
	return &Directory{self: self, zone: zone, avoided: map[string]time.Time{}, turns: turn}
}

// VMs are the VMs that may run requests for others, by zone.
type VMs struct {
	Executors, Helpers map[string][]string
	// OwnZone is the number of other VMs in the zone of the directory's VM.
	OwnZone int
}

// Update replaces the VMs that may run requests.
func (d *Directory) Update(now time.Time, vms VMs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byZone, d.helpers, d.ownZone = vms.Executors, vms.Helpers, vms.OwnZone
	for addr, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, addr)
		}
	}
}

// Avoid excludes a VM that didn't accept a request for a while.
func (d *Directory) Avoid(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[address] = now.Add(avoidPeriod)
}

// Candidates returns the executors to ask, in order, for a query whose upstreams are
// in the zones. It returns none if this VM should run the query itself: if it is an
// executor in one of the zones, or none is available. Those of the VM's own zone come
// first.
func (d *Directory) Candidates(now time.Time, zones map[string]bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if zones[d.zone] && slices.Contains(d.byZone[d.zone], d.self) {
		return nil
	}
	d.turns++
	var out []string
	if zones[d.zone] {
		out = d.appendRotated(out, now, d.byZone[d.zone])
	}
	if len(out) < maxCandidates {
		out = d.appendRotated(out, now, d.inOtherZones(zones))
	}
	return out[:min(len(out), maxCandidates)]
}

// Helpers returns the VMs to ask, in order, for a request of a VM that reaches no
// upstream: executors, which have connections to the upstreams, then other VMs. The
// requests rotate through them.
func (d *Directory) Helpers(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turns++
	out := d.appendRotated(nil, now, d.byZone[d.zone])
	out = d.appendRotated(out, now, allZones(d.byZone))
	if own := d.helpers[d.zone]; float64(len(own)) >= minOwnZoneHelpers*float64(d.ownZone) {
		out = d.appendRotated(out, now, own)
	}
	others := allZones(d.helpers)
	out = d.appendRotated(out, now, others)
	// An avoided VM may accept by now, while this VM can't run the request itself.
	out = d.appendRotated(out, now.Add(avoidPeriod), others)
	return firstDistinct(out, maxHelpers)
}

func allZones(byZone map[string][]string) []string {
	var out []string
	for _, list := range byZone {
		out = append(out, list...)
	}
	slices.Sort(out)
	return out
}

// firstDistinct returns the first n distinct addresses.
func firstDistinct(list []string, n int) []string {
	var out []string
	for _, addr := range list {
		if len(out) < n && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

func (d *Directory) inOtherZones(zones map[string]bool) []string {
	var out []string
	for zone, list := range d.byZone {
		if zone != d.zone && zones[zone] {
			out = append(out, list...)
		}
	}
	slices.Sort(out)
	return out
}

// appendRotated appends the executors that aren't avoided, from another one on with
// each turn.
func (d *Directory) appendRotated(dst []string, now time.Time, list []string) []string {
	for i := range list {
		addr := list[(d.turns+i)%len(list)]
		if addr != d.self && !now.Before(d.avoided[addr]) {
			dst = append(dst, addr)
		}
	}
	return dst
}
