package catalog

import (
	"fmt"
	"net/netip"
	"slices"
)

// upstreamOwner is the file and service that define an upstream.
type upstreamOwner struct {
	file, service string
}

// serviceSet is the merged definitions of all services. It depends only on the
// files that define services and is reused while these don't change, since most
// changes concern other files. It is immutable once built.
type serviceSet struct {
	fragments []*fragment
	services  map[string]*Service
	problems  []Problem
	// definedIn maps a service's name to the file that defines it.
	definedIn map[string]string
	// ids and addresses map an upstream's id and address to their owners. Both
	// must be unique.
	ids       map[string]upstreamOwner
	addresses map[netip.AddrPort]string
	// usedZones names the zones with at least one upstream.
	usedZones map[string]bool
}

// withServices returns the fragments that define services.
func withServices(fragments []*fragment) []*fragment {
	var out []*fragment
	for _, f := range fragments {
		if len(f.services) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// refresh returns s if the fragments that define services are those that s was
// built from, and otherwise a new set. S may be nil.
func (s *serviceSet) refresh(fragments []*fragment) *serviceSet {
	fragments = withServices(fragments)
	if s != nil && slices.Equal(s.fragments, fragments) {
		return s
	}
	return newServiceSet(fragments)
}

func newServiceSet(fragments []*fragment) *serviceSet {
	upstreams := 0
	for _, f := range fragments {
		for _, s := range f.builtServices {
			upstreams += s.upstreamCount()
		}
	}
	s := &serviceSet{
		fragments: fragments,
		services:  make(map[string]*Service),
		definedIn: make(map[string]string),
		ids:       make(map[string]upstreamOwner, upstreams),
		addresses: make(map[netip.AddrPort]string, upstreams),
		usedZones: make(map[string]bool),
	}
	for _, f := range fragments {
		s.add(f)
	}
	return s
}

func (s *serviceSet) reject(file, field, format string, args ...any) {
	s.problems = append(s.problems, itemProblem(file, field, format, args...))
}

func (s *serviceSet) add(f *fragment) {
	for _, name := range sortedKeys(f.services) {
		if owner, taken := s.definedIn[name]; taken {
			s.reject(f.file, "services."+name, alreadyDefined, owner)
			continue
		}
		s.definedIn[name] = f.file
		service := f.builtServices[name]
		if repeated := s.registerReplicas(f, name); len(repeated) > 0 {
			service = service.withoutReplicas(repeated)
			service.digest = hashJSON(service.spec())
		}
		s.services[name] = service
		for _, shard := range service.Shards {
			for _, u := range shard.Replicas {
				s.usedZones[u.Zone] = true
			}
		}
	}
}

// registerReplicas registers the ids and addresses of a service's replicas. It
// returns the ids of those replicas whose id or address another file already uses.
func (s *serviceSet) registerReplicas(f *fragment, service string) map[string]bool {
	repeated := make(map[string]bool)
	f.services[service].eachReplica(func(shard, replica int, u replicaSpec) {
		if !s.registerReplica(f.file, service, shard, replica, u) {
			repeated[u.ID] = true
		}
	})
	return repeated
}

func (s *serviceSet) registerReplica(file, service string, shard, replica int, u replicaSpec) bool {
	address := parseAddress(u.Address)
	if owner, taken := s.ids[u.ID]; taken {
		s.reject(file, replicaPath(service, shard, replica)+".id", "upstream id %q is already used in %s", u.ID, owner.file)
		return false
	}
	if owner, taken := s.addresses[address]; taken {
		s.reject(file, replicaPath(service, shard, replica)+".address", "address %s is already used in %s", address, owner)
		return false
	}
	s.ids[u.ID] = upstreamOwner{file: file, service: service}
	s.addresses[address] = file
	return true
}

// reportUnknownZones calls report for each replica whose zone is not in zones.
func (s *serviceSet) reportUnknownZones(zones map[string]*Zone, report func(file, field, zone string)) {
	known := true
	for zone := range s.usedZones {
		known = known && zones[zone] != nil
	}
	if known {
		return
	}
	for _, f := range s.fragments {
		for _, name := range sortedKeys(f.services) {
			f.services[name].eachReplica(func(shard, replica int, u replicaSpec) {
				if zones[u.Zone] == nil {
					report(f.file, fmt.Sprintf("%s.zone", replicaPath(name, shard, replica)), u.Zone)
				}
			})
		}
	}
}
