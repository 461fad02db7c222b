package catalog

import (
	"cmp"
	"slices"
	"time"
)

// defaultColdPermits applies to services that don't set cold_permits.
const defaultColdPermits = 1

// buildServices builds the services of f into builtServices.
func (f *fragment) buildServices() {
	f.builtServices = make(map[string]*Service, len(f.services))
	for name, spec := range f.services {
		f.builtServices[name] = spec.build(name)
	}
}

func (spec *serviceSpec) build(name string) *Service {
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
		s.Shards[i].Replicas = make([]Upstream, len(replicas))
		for j, u := range replicas {
			s.Shards[i].Replicas[j] = Upstream(u)
		}
		slices.SortFunc(s.Shards[i].Replicas, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.digest = hashJSON(s.spec())
	return s
}

func milliseconds(ms *float64) time.Duration {
	if ms == nil {
		return 0
	}
	return time.Duration(*ms * float64(time.Millisecond))
}

func (s *Service) upstreamCount() int {
	n := 0
	for _, shard := range s.Shards {
		n += len(shard.Replicas)
	}
	return n
}

// clone returns a copy whose replicas may be modified.
func (s *Service) clone() *Service {
	out := *s
	out.Shards = make([]Shard, len(s.Shards))
	for i, shard := range s.Shards {
		out.Shards[i].Replicas = slices.Clone(shard.Replicas)
	}
	return &out
}

// withoutReplicas returns a copy without the replicas with the given ids.
func (s *Service) withoutReplicas(ids map[string]bool) *Service {
	out := s.clone()
	for i := range out.Shards {
		out.Shards[i].Replicas = slices.DeleteFunc(out.Shards[i].Replicas, func(u Upstream) bool { return ids[u.ID] })
	}
	return out
}

// upstream returns the replica with the given id, or nil.
func (s *Service) upstream(id string) *Upstream {
	for _, shard := range s.Shards {
		for i := range shard.Replicas {
			if shard.Replicas[i].ID == id {
				return &shard.Replicas[i]
			}
		}
	}
	return nil
}
