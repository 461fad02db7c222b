// Package executor chooses the VM that runs a query over many shards for the VM that
// received it. `ryecourse gateway` uses it.
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

// Request is a query that another VM is asked to run.
type Request struct {
	ID    string
	Route string
	// RouteFingerprint is that of the sender's version of the route.
	RouteFingerprint uint64
	Customer         string
	Method           string
	// Head is the request line and the headers that all attempts share.
	Head, Body []byte
	// Fingerprint identifies requests that are the same to an upstream.
	Fingerprint uint64
	// SoftTimeout is the time after which a sufficient partial result is returned;
	// Timeout is the time after which the query is given up.
	SoftTimeout, Timeout time.Duration
}

// Result is the outcome of a query.
type Result struct {
	// Failure is why there is no merged response; empty on success.
	Failure string
	// NotRun is set if no upstream may have run the request.
	NotRun bool
	// RetryAfter is how long the caller of a failed query that hasn't run should wait
	// before it retries.
	RetryAfter time.Duration
	Body       []byte
	// Signatures are those of the upstreams whose responses were merged; Missing names
	// the services without a response.
	Signatures, Missing []string

	Answered, Attempts, Hedges, DeniedByBudget, WithoutUpstream, AtLimit int
	// LastError is the last error of an attempt, or empty.
	LastError string
}

const (
	// maxCandidates is the number of executors that are tried before a VM runs a
	// query itself.
	maxCandidates = 2
	// avoidPeriod is how long an executor that didn't accept a query is avoided. It
	// is about the time after which reports show that a VM is down.
	avoidPeriod = 2 * time.Second
)

// Directory holds the executors of the fleet as one VM sees them. It is safe for
// concurrent use.
type Directory struct {
	self, zone string

	mu      sync.Mutex
	byZone  map[string][]string
	avoided map[string]time.Time // until when, by address
	turns   int
}

// NewDirectory returns an empty directory of a VM. turn is where its rotation through
// the executors begins; it should differ between VMs.
func NewDirectory(self, zone string, turn int) *Directory {
	return &Directory{self: self, zone: zone, avoided: map[string]time.Time{}, turns: turn}
}

// Update replaces the executors, by zone.
func (d *Directory) Update(now time.Time, byZone map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byZone = byZone
	for addr, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, addr)
		}
	}
}

// Avoid excludes an executor that didn't accept a query for a while.
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
