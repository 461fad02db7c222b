// Package catalog builds a validated, versioned and immutable Catalog from the
// operators' configuration files. It is used by `ryecourse serve` and by the
// commands that check and compare configurations.
//
// The configuration service stores the files in a folder. Each publication has a
// folder version. A revision of a file is the folder version that published its
// content, so revisions of all files and folder versions are one sequence of
// numbers. A revision is invalid on its own if the checks of that file alone
// reject it; it then has no fragment, and a prior state of the file stays active.
// Problems between files are found by a merge, which rejects only single items.
// An upstream is cold for a while after its start, while it warms up.
//
// The package does no I/O. Parsing, merging and validation are pure functions
// of the files, so every daemon builds the same Catalog from the same set of
// files.
package catalog

import "time"

// Catalog is the merged configuration. It is immutable once built, so goroutines
// may share it without locks.
type Catalog struct {
	// Version is the folder version that the catalog was built from. It only
	// grows.
	Version uint64
	// Digest identifies the content independently of the version.
	Digest string
	// Customers, Services and Zones are keyed by name.
	Customers map[string]*Customer
	Services  map[string]*Service
	Zones     map[string]*Zone
	// keyOwner maps the hash of a key to the customer's name. A hash that two
	// customers list belongs to the customer of the first file.
	keyOwner map[string]string
	// unconfirmed holds the hashes of keys that may have been revoked. See
	// KeyUnconfirmed.
	unconfirmed map[string]bool
}

// Customer holds the API keys and the rate limit of one customer.
type Customer struct {
	Name string
	// KeyHashes are hexadecimal SHA-256 digests of the customer's keys.
	KeyHashes []string
	// Rate is the sustained limit in requests per second, fleet-wide.
	Rate float64
	// Burst is the bucket size in requests, fleet-wide.
	Burst float64
	// Services names the services that the customer may use. If empty, it may use
	// all.
	Services []string
}

// Service is a set of shards with a common policy.
type Service struct {
	Name string
	// Shards are indexed by shard number. There is at least one.
	Shards []Shard
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int
	// Connections is the maximum number of connections to one upstream, fleet-wide.
	Connections int
	// ConnectCost is the time that an upstream spends on a new connection.
	ConnectCost time.Duration
	// Deadline is the maximum duration of one query.
	Deadline time.Duration
	// Idempotent reports whether a request may be sent more than once.
	Idempotent bool
	// Open reports whether the service's route accepts callers without a key.
	Open bool
	// SingleShard reports whether a request goes to one shard, selected by its
	// routing key, instead of to all shards.
	SingleShard bool
	// Snapshots reports whether responses name their index snapshot. All shards
	// of one query must then use the same snapshot.
	Snapshots bool
	// ColdPermits is the number of concurrent requests, fleet-wide, that an
	// upstream may run while it is cold.
	ColdPermits int
	// digest identifies the content. It is computed when the service is built or
	// changed by a merge.
	digest string
}

// Shard is one partition of a service's index.
type Shard struct {
	// Replicas is empty if all of them were rejected as duplicates of another
	// file's upstreams. The shard then counts as missing.
	Replicas []Upstream
}

// Upstream is one back-end process that serves a replica of a shard.
type Upstream struct {
	// ID is unique within the catalog.
	ID string
	// Address is IP:port.
	Address string
	// Zone is the availability zone's name.
	Zone string
	// Draining reports whether operators are draining the upstream.
	Draining bool
}

// Zone is one availability zone.
type Zone struct {
	Name string
	// OutOfService reports whether operators have taken the zone out of service.
	OutOfService bool
}

// KeyUnconfirmed reports whether a version that this daemon doesn't know may have
// revoked the key with the given hexadecimal SHA-256 digest. This is the case if
// the file that lists the key is invalid and its active earlier revision may not
// be the last valid one.
func (c *Catalog) KeyUnconfirmed(hash string) bool { return c.unconfirmed[hash] }

// markUnconfirmed marks the keys of the named files.
func (c *Catalog) markUnconfirmed(fragments []*fragment, files map[string]bool) {
	c.unconfirmed = make(map[string]bool)
	for _, f := range fragments {
		if !files[f.file] {
			continue
		}
		for _, spec := range f.customers {
			for _, hash := range spec.KeyHashes {
				c.unconfirmed[hash] = true
			}
		}
	}
}

// CustomerByKeyHash returns the customer that owns the key with the given
// hexadecimal SHA-256 digest, or nil.
func (c *Catalog) CustomerByKeyHash(hash string) *Customer {
	name, ok := c.keyOwner[hash]
	if !ok {
		return nil
	}
	return c.Customers[name]
}
