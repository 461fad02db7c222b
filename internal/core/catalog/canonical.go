package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// canonicalFile is the canonical form of a catalog: a single file that builds to
// the same catalog.
type canonicalFile struct {
	Customers map[string]*customerSpec `json:"customers"`
	Services  map[string]*serviceSpec  `json:"services"`
	Zones     map[string]*zoneSpec     `json:"zones"`
}

// CanonicalJSON returns the catalog's content as canonical JSON: members in the
// order of their names, lists of hashes and services sorted. Catalogs of equal
// content give equal bytes. The version is not included.
func (c *Catalog) CanonicalJSON() ([]byte, error) {
	return json.Marshal(c.canonical())
}

func (c *Catalog) canonical() *canonicalFile {
	f := &canonicalFile{
		Customers: make(map[string]*customerSpec, len(c.Customers)),
		Services:  make(map[string]*serviceSpec, len(c.Services)),
		Zones:     make(map[string]*zoneSpec, len(c.Zones)),
	}
	for name, customer := range c.Customers {
		f.Customers[name] = customer.spec()
	}
	for name, service := range c.Services {
		f.Services[name] = service.spec()
	}
	for name, zone := range c.Zones {
		f.Zones[name] = &zoneSpec{Out: &zone.OutOfService}
	}
	return f
}

func (c *Customer) spec() *customerSpec {
	return &customerSpec{
		KeyHashes: c.KeyHashes,
		Rate:      &c.Rate,
		Burst:     &c.Burst,
		Services:  c.Services,
	}
}

func (s *Service) spec() *serviceSpec {
	deadline := inMilliseconds(s.Deadline)
	connectCost := inMilliseconds(s.ConnectCost)
	spec := &serviceSpec{
		Slots:         &s.Slots,
		Connections:   &s.Connections,
		ConnectCostMS: &connectCost,
		DeadlineMS:    &deadline,
		Idempotent:    s.Idempotent,
		Open:          s.Open,
		SingleShard:   s.SingleShard,
		Snapshots:     s.Snapshots,
		ColdPermits:   &s.ColdPermits,
		Shards:        make([][]replicaSpec, len(s.Shards)),
	}
	for i, shard := range s.Shards {
		spec.Shards[i] = make([]replicaSpec, len(shard.Replicas))
		for j, u := range shard.Replicas {
			spec.Shards[i][j] = replicaSpec(u)
		}
	}
	return spec
}

func inMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// digest returns the hexadecimal SHA-256 over the digests of c's objects,
// ordered by kind and name. It identifies the content of c.
func digest(c *Catalog) string {
	h := sha256.New()
	for _, name := range sortedKeys(c.Customers) {
		fmt.Fprintf(h, "customer %s %s\n", name, hashJSON(c.Customers[name].spec()))
	}
	for _, name := range sortedKeys(c.Services) {
		fmt.Fprintf(h, "service %s %s\n", name, c.Services[name].digest)
	}
	for _, name := range sortedKeys(c.Zones) {
		fmt.Fprintf(h, "zone %s %t\n", name, c.Zones[name].OutOfService)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func hashJSON(v any) string {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // Every number was read from JSON, so it is finite.
	}
	sum := sha256.Sum256(out)
	return hex.EncodeToString(sum[:])
}
