package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// defaultColdPermits is used where a service doesn't set cold_permits.
const defaultColdPermits = 1

// Build merges files in the order of their names and returns the catalog with
// every mistake found, ordered by file.
//
// A file that is wrong in itself contributes nothing. Between files these
// rules hold; what breaks one is reported, and only that item has no effect:
//
//   - One file defines a customer (rate, burst, services). A file that gives
//     nothing but key hashes adds them. A customer without a definition is not
//     in force. A second definition has no effect, nor have its key hashes.
//   - One file defines a service, whole.
//   - Any file may declare a zone. The last one that sets "out" decides.
//   - Any file may set "draining" of an upstream by its id in "upstreams". The
//     last one decides, also over the service's own definition.
//   - A key hash belongs to one customer; an upstream's id and address belong
//     to one replica. The first file that lists it keeps it.
//
// Build is a pure function of the names and contents.
func Build(version uint64, files []Published) (*Catalog, []Problem) {
	var problems []Problem
	var fragments []*fragment
	seen := make(map[string]bool)
	for _, p := range sortedFiles(files) {
		if seen[p.Name] {
			problems = append(problems, Problem{File: p.Name, Message: "the folder lists this name twice"})
			continue
		}
		seen[p.Name] = true
		f, ps := parseFile(p.Name, p.Content)
		problems = append(problems, ps...)
		if f != nil {
			fragments = append(fragments, f)
		}
	}
	c, ps := mergeFragments(version, fragments)
	problems = append(problems, ps...)
	sortProblems(problems)
	return c, problems
}

func sortedFiles(files []Published) []Published {
	out := slices.Clone(files)
	slices.SortStableFunc(out, func(a, b Published) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// claims records who uses a value that must be unique.
type claims struct {
	keys, ids, addresses map[string]string
}

func newClaims() *claims {
	return &claims{
		keys:      make(map[string]string),
		ids:       make(map[string]string),
		addresses: make(map[string]string),
	}
}

// merger builds one catalog from fragments in the order of their names.
type merger struct {
	catalog  *Catalog
	problems []Problem
	// defined maps an object's path to the file that defines it.
	defined map[string]string
	claims  *claims
	// replicas points into the catalog by upstream id.
	replicas map[string]*Upstream
	populate map[string]bool // zones that have an upstream
}

func mergeFragments(version uint64, fragments []*fragment) (*Catalog, []Problem) {
	m := &merger{
		catalog: &Catalog{
			Version:   version,
			Customers: make(map[string]*Customer),
			Services:  make(map[string]*Service),
			Zones:     make(map[string]*Zone),
			keyOwner:  make(map[string]string),
		},
		defined:  make(map[string]string),
		claims:   newClaims(),
		replicas: make(map[string]*Upstream),
		populate: make(map[string]bool),
	}
	// Definitions come first, so that what refers to them may stand in any file.
	for _, f := range fragments {
		m.addZones(f)
		m.addServices(f)
		m.addCustomers(f)
	}
	for _, f := range fragments {
		m.addKeys(f)
		m.setDraining(f)
		m.checkReferences(f)
	}
	m.addImpliedZones()
	m.catalog.Digest = digest(m.catalog)
	return m.catalog, m.problems
}

func (m *merger) hold(file, field, format string, args ...any) {
	m.problems = append(m.problems, Problem{
		File: file, Field: field, Message: fmt.Sprintf(format, args...), Effect: HoldsItem,
	})
}

// define claims the object at path for file.
func (m *merger) define(file, path string) bool {
	owner, taken := m.defined[path]
	if taken {
		m.hold(file, path, "already defined by %s, which stays in force", owner)
		return false
	}
	m.defined[path] = file
	return true
}

func (m *merger) addZones(f *fragment) {
	for name, spec := range f.zones {
		z := m.catalog.Zones[name]
		if z == nil {
			z = &Zone{Name: name}
			m.catalog.Zones[name] = z
		}
		if spec.Out != nil {
			z.Out = *spec.Out
		}
	}
}

func (m *merger) addCustomers(f *fragment) {
	for _, name := range sortedKeys(f.customers) {
		spec := f.customers[name]
		if !spec.defines() || !m.define(f.file, "customers."+name) {
			continue
		}
		m.catalog.Customers[name] = &Customer{
			Name:     name,
			Rate:     *spec.Rate,
			Burst:    *spec.Burst,
			Services: slices.Sorted(slices.Values(spec.Services)),
		}
	}
}

func (m *merger) addServices(f *fragment) {
	for _, name := range sortedKeys(f.services) {
		if m.define(f.file, "services."+name) {
			m.catalog.Services[name] = m.service(f, name, f.services[name])
		}
	}
}

func (m *merger) service(f *fragment, name string, spec *serviceSpec) *Service {
	s := &Service{
		Name:        name,
		Slots:       *spec.Slots,
		Connections: *spec.Connections,
		ConnectCost: milliseconds(spec.ConnectCostMS),
		Deadline:    milliseconds(spec.DeadlineMS),
		Idempotent:  spec.Idempotent,
		Open:        spec.Open,
		SingleShard: spec.SingleShard,
		Snapshots:   spec.Snapshots,
		ColdPermits: defaultColdPermits,
		Shards:      make([]Shard, len(spec.Shards)),
	}
	if spec.ColdPermits != nil {
		s.ColdPermits = *spec.ColdPermits
	}
	for i, replicas := range spec.Shards {
		s.Shards[i].Replicas = m.shard(f, name, i, replicas)
	}
	return s
}

func (m *merger) shard(f *fragment, service string, shard int, specs []replicaSpec) []Upstream {
	out := make([]Upstream, 0, len(specs))
	for j, spec := range specs {
		path := replicaPath(service, shard, j)
		if !m.claimReplica(f.file, path, spec) {
			continue
		}
		out = append(out, Upstream(spec))
		m.populate[spec.Zone] = true
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for i := range out {
		m.replicas[out[i].ID] = &out[i]
	}
	return out
}

func (m *merger) claimReplica(file, path string, spec replicaSpec) bool {
	address := canonicalAddress(spec.Address)
	if owner, taken := m.claims.ids[spec.ID]; taken {
		m.hold(file, path+".id", "upstream id %q is already used in %s", spec.ID, owner)
		return false
	}
	if owner, taken := m.claims.addresses[address]; taken {
		m.hold(file, path+".address", "address %s is already used in %s", address, owner)
		return false
	}
	m.claims.ids[spec.ID] = file
	m.claims.addresses[address] = file
	return true
}

func (m *merger) addKeys(f *fragment) {
	for _, name := range sortedKeys(f.customers) {
		spec := f.customers[name]
		if spec.defines() && m.defined["customers."+name] != f.file {
			continue // Keys of a second definition may be meant for another customer.
		}
		c := m.catalog.Customers[name]
		if c == nil {
			m.hold(f.file, "customers."+name, "no file gives this customer's rate and burst")
			continue
		}
		for i, hash := range spec.KeyHashes {
			m.addKey(f.file, c, i, hash)
		}
	}
}

func (m *merger) addKey(file string, c *Customer, index int, hash string) {
	owner, taken := m.catalog.keyOwner[hash]
	if taken {
		path := fmt.Sprintf("customers.%s.key_hashes[%d]", c.Name, index)
		m.hold(file, path, "key hash %s… is already listed for customer %q in %s", hash[:hashPrefix], owner, m.claims.keys[hash])
		return
	}
	m.claims.keys[hash] = file
	m.catalog.keyOwner[hash] = c.Name
	at, _ := slices.BinarySearch(c.KeyHashes, hash)
	c.KeyHashes = slices.Insert(c.KeyHashes, at, hash)
}

func (m *merger) setDraining(f *fragment) {
	for _, id := range sortedKeys(f.upstreams) {
		u := m.replicas[id]
		if u == nil {
			m.hold(f.file, "upstreams."+id, "no service has an upstream with this id")
			continue
		}
		u.Draining = *f.upstreams[id].Draining
	}
}

// checkReferences reports names that nothing in the folder stands for.
func (m *merger) checkReferences(f *fragment) {
	for _, name := range sortedKeys(f.customers) {
		for i, service := range f.customers[name].Services {
			if m.catalog.Services[service] == nil {
				m.hold(f.file, fmt.Sprintf("customers.%s.services[%d]", name, i), "no file defines service %q", service)
			}
		}
	}
	for _, name := range sortedKeys(f.services) {
		f.services[name].eachReplica(func(shard, replica int, u replicaSpec) {
			if m.catalog.Zones[u.Zone] == nil {
				m.hold(f.file, replicaPath(name, shard, replica)+".zone", "no file declares zone %q; it counts as in service", u.Zone)
			}
		})
	}
	for _, name := range sortedKeys(f.zones) {
		out := f.zones[name].Out
		if out != nil && *out && !m.populate[name] {
			m.hold(f.file, "zones."+name+".out", "no upstream is in this zone; check the name")
		}
	}
}

// addImpliedZones adds the zones that upstreams name but no file declares, so
// that every upstream's zone can be looked up.
func (m *merger) addImpliedZones() {
	for name := range m.populate {
		if m.catalog.Zones[name] == nil {
			m.catalog.Zones[name] = &Zone{Name: name}
		}
	}
}

func milliseconds(ms *float64) time.Duration {
	if ms == nil {
		return 0
	}
	return time.Duration(*ms * float64(time.Millisecond))
}
