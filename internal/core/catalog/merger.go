package catalog

import (
	"fmt"
	"maps"
	"slices"
)

const alreadyDefined = "already defined by %s, whose definition stays active"

// merger builds one catalog from fragments in the order of their names. It
// shares the services of the set unless another file changes them.
type merger struct {
	catalog    *Catalog
	serviceSet *serviceSet
	problems   []Problem
	// definedIn maps a customer's name to the file that defines it.
	definedIn map[string]string
	// keyFile maps a key's hash to the file that lists it.
	keyFile map[string]string
	// copied names the services that are copies and not shared with the set.
	copied map[string]bool
}

// mergeFragments merges fragments, which must be in the order of their names.
// The set must have been built from them.
func mergeFragments(version uint64, fragments []*fragment, set *serviceSet) (*Catalog, []Problem) {
	m := &merger{
		catalog: &Catalog{
			Version:   version,
			Customers: make(map[string]*Customer),
			Services:  maps.Clone(set.services),
			Zones:     make(map[string]*Zone),
			keyOwner:  make(map[string]string),
		},
		serviceSet: set,
		problems:   slices.Clone(set.problems),
		definedIn:  make(map[string]string),
		keyFile:    make(map[string]string),
		copied:     make(map[string]bool),
	}
	// Definitions are added first, so that references to them may be in any file.
	for _, f := range fragments {
		m.addZones(f)
		m.addCustomers(f)
	}
	for _, f := range fragments {
		m.addKeys(f)
	}
	m.setDraining(fragments)
	m.checkReferences(fragments)
	m.addUndeclaredZones()
	m.catalog.Digest = digest(m.catalog)
	return m.catalog, m.problems
}

func itemProblem(file, field, format string, args ...any) Problem {
	return Problem{File: file, Field: field, Message: fmt.Sprintf(format, args...), Effect: RejectsItem}
}

func (m *merger) reject(file, field, format string, args ...any) {
	m.problems = append(m.problems, itemProblem(file, field, format, args...))
}

func (m *merger) addZones(f *fragment) {
	for name, spec := range f.zones {
		z := m.catalog.Zones[name]
		if z == nil {
			z = &Zone{Name: name}
			m.catalog.Zones[name] = z
		}
		if spec.Out != nil {
			z.OutOfService = *spec.Out
		}
	}
}

func (m *merger) addCustomers(f *fragment) {
	for _, name := range sortedKeys(f.customers) {
		spec := f.customers[name]
		if !spec.isDefinition() {
			continue
		}
		if owner, taken := m.definedIn[name]; taken {
			m.reject(f.file, "customers."+name, alreadyDefined, owner)
			continue
		}
		m.definedIn[name] = f.file
		m.catalog.Customers[name] = &Customer{
			Name:     name,
			Rate:     *spec.Rate,
			Burst:    *spec.Burst,
			Services: slices.Sorted(slices.Values(spec.Services)),
		}
	}
}

func (m *merger) addKeys(f *fragment) {
	for _, name := range sortedKeys(f.customers) {
		spec := f.customers[name]
		if spec.isDefinition() && m.definedIn[name] != f.file {
			continue // Keys of a second definition may be intended for another customer.
		}
		c := m.catalog.Customers[name]
		if c == nil {
			m.reject(f.file, "customers."+name, "no file gives this customer's rate and burst")
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
		m.reject(file, path, "key hash %s… is already listed for customer %q in %s", hash[:hashPrefixLen], owner, m.keyFile[hash])
		return
	}
	m.keyFile[hash] = file
	m.catalog.keyOwner[hash] = c.Name
	at, _ := slices.BinarySearch(c.KeyHashes, hash)
	c.KeyHashes = slices.Insert(c.KeyHashes, at, hash)
}

// setDraining applies the draining state that fragments set for individual
// upstreams, in the order of the fragments.
func (m *merger) setDraining(fragments []*fragment) {
	for _, f := range fragments {
		for _, id := range sortedKeys(f.upstreams) {
			owner, ok := m.serviceSet.ids[id]
			if !ok {
				m.reject(f.file, "upstreams."+id, "no service has an upstream with this id")
				continue
			}
			m.mutableService(owner.service).upstream(id).Draining = *f.upstreams[id].Draining
		}
	}
	for name := range m.copied {
		s := m.catalog.Services[name]
		s.digest = hashJSON(s.spec())
	}
}

// mutableService returns a copy of the service that may be modified. The copy
// replaces the shared one in the catalog.
func (m *merger) mutableService(name string) *Service {
	if !m.copied[name] {
		m.catalog.Services[name] = m.catalog.Services[name].clone()
		m.copied[name] = true
	}
	return m.catalog.Services[name]
}

// checkReferences reports references to objects that the folder doesn't define.
func (m *merger) checkReferences(fragments []*fragment) {
	for _, f := range fragments {
		m.checkCustomers(f)
		m.checkZones(f)
	}
	m.serviceSet.reportUnknownZones(m.catalog.Zones, func(file, field, zone string) {
		m.reject(file, field, "no file declares zone %q; it counts as in service", zone)
	})
}

func (m *merger) checkCustomers(f *fragment) {
	for _, name := range sortedKeys(f.customers) {
		for i, service := range f.customers[name].Services {
			if m.catalog.Services[service] == nil {
				m.reject(f.file, fmt.Sprintf("customers.%s.services[%d]", name, i), "no file defines service %q", service)
			}
		}
	}
}

func (m *merger) checkZones(f *fragment) {
	for _, name := range sortedKeys(f.zones) {
		out := f.zones[name].Out
		if out != nil && *out && !m.serviceSet.usedZones[name] {
			m.reject(f.file, "zones."+name+".out", "no upstream is in this zone; check the name")
		}
	}
}

// addUndeclaredZones adds the zones that upstreams refer to but no file declares,
// so that a lookup of an upstream's zone always succeeds.
func (m *merger) addUndeclaredZones() {
	for name := range m.serviceSet.usedZones {
		if m.catalog.Zones[name] == nil {
			m.catalog.Zones[name] = &Zone{Name: name}
		}
	}
}
