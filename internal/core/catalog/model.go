// Package catalog turns operators' configuration files into one validated,
// versioned and immutable Catalog.
//
// The package has no I/O. Parsing, merging and validation are pure functions
// of the files, so that every daemon reaches the same Catalog from the same
// set of files.
package catalog

import "time"

// Catalog is the merged configuration. It is immutable once built: readers
// share it between goroutines without locks.
type Catalog struct {
	// Version is the folder revision that the catalog was built from. It only
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
	// unconfirmed holds hashes of keys that may have been withdrawn.
	unconfirmed map[string]bool
}

// Customer is one tenant with its keys and its limit.
type Customer struct {
	Name string
	// KeyHashes are hexadecimal SHA-256 digests of the customer's keys.
	KeyHashes []string
	// Rate is the sustained limit in requests per second over all VMs together.
	Rate float64
	// Burst is the bucket size in requests over all VMs together.
	Burst float64
	// Services names the services that the customer may use. Empty means all.
	Services []string
}

// Service is a set of shards with a common policy.
type Service struct {
	Name string
	// Shards are indexed by shard number. There is at least one.
	Shards []Shard
	// Slots is the number of requests that one upstream runs at a time.
	Slots int
	// Connections is the limit of one upstream over all VMs together.
	Connections int
	// ConnectCost is the time that an upstream spends on a new connection.
	ConnectCost time.Duration
	// Deadline is the longest time for one query.
	Deadline time.Duration
	// Idempotent tells whether a request may be sent more than once.
	Idempotent bool
	// Open tells whether the service's route is open to callers without a key.
	Open bool
	// SingleShard tells whether a request goes to one shard, chosen by its
	// routing key, instead of to all shards.
	SingleShard bool
	// Snapshots tells whether the answers carry index snapshots that must agree.
	Snapshots bool
	// ColdPermits is the number of requests that an upstream bears at a time
	// over all VMs together while it is cold.
	ColdPermits int
	// digest identifies the content. It is computed when the service is built.
	digest string
}

// Shard is one partition of a service's index.
type Shard struct {
	// Replicas may be empty when each of them repeats an upstream of another
	// file. The shard then counts as missing.
	Replicas []Upstream
}

// Upstream is one back-end process that holds a replica of a shard.
type Upstream struct {
	// ID is unique within the catalog.
	ID string
	// Address is IP:port.
	Address string
	// Zone is the availability zone's name.
	Zone string
	// Draining tells whether operators are taking the upstream out.
	Draining bool
}

// Zone is one availability zone.
type Zone struct {
	Name string
	// OutOfService tells whether operators have taken the zone out of service.
	OutOfService bool
}

// KeyUnconfirmed tells whether a version that this daemon doesn't know may have
// withdrawn the key with the given hexadecimal SHA-256 digest: the file that lists
// it is wrong, and its earlier content in force may not be the last right one.
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
