package catalog

import "fmt"

// fragment reads the root object of a file.
func (r *reader) fragment(root *node) *fragment {
	f := &fragment{
		file:      r.file,
		customers: make(map[string]*customerSpec),
		services:  make(map[string]*serviceSpec),
		zones:     make(map[string]*zoneSpec),
		upstreams: make(map[string]*upstreamSpec),
	}
	r.object(root, "", []field{
		{"customers", func(n *node, path string) { readSection(r, n, path, f.customers, r.customer) }},
		{"services", func(n *node, path string) { readSection(r, n, path, f.services, r.service) }},
		{"zones", func(n *node, path string) { readSection(r, n, path, f.zones, r.zone) }},
		{"upstreams", func(n *node, path string) { readSection(r, n, path, f.upstreams, r.upstream) }},
	})
	return f
}

// readSection reads the named objects of one kind.
func readSection[T any](r *reader, n *node, path string, into map[string]*T, read func(*node, string) *T) {
	r.eachMember(n, path, func(name string, value *node, path string) {
		if !namePattern.MatchString(name) {
			r.addProblem(path, nameRule)
		}
		if spec := readValidated(r, value, path, read); spec != nil {
			into[name] = spec
		}
	})
}

// readValidated reads one object and validates its values. For a value of the
// wrong type only the type is reported.
func readValidated[T any](r *reader, n *node, path string, read func(*node, string) *T) *T {
	if !r.expectKind(n, kindObject, path) {
		return nil
	}
	before := len(r.problems)
	spec := read(n, path)
	r.validate(spec, path, r.problems[before:])
	return spec
}

func (r *reader) customer(n *node, path string) *customerSpec {
	c := &customerSpec{}
	r.object(n, path, []field{
		{"key_hashes", r.strings(&c.KeyHashes)},
		{"rate", r.float(&c.Rate)},
		{"burst", r.float(&c.Burst)},
		{"services", r.strings(&c.Services)},
	})
	if len(n.members) == 0 {
		r.addProblem(path, "sets nothing; give rate and burst, or key_hashes")
	}
	return c
}

func (r *reader) service(n *node, path string) *serviceSpec {
	s := &serviceSpec{}
	r.object(n, path, []field{
		{"shards", func(n *node, path string) { s.Shards = r.shards(n, path) }},
		{"slots", r.int(&s.Slots)},
		{"connections", r.int(&s.Connections)},
		{"connect_cost_ms", r.float(&s.ConnectCostMS)},
		{"deadline_ms", r.float(&s.DeadlineMS)},
		{"idempotent", r.bool(&s.Idempotent)},
		{"open", r.bool(&s.Open)},
		{"single_shard", r.bool(&s.SingleShard)},
		{"snapshots", r.bool(&s.Snapshots)},
		{"cold_permits", r.int(&s.ColdPermits)},
	})
	return s
}

func (r *reader) shards(n *node, path string) [][]replicaSpec {
	var shards [][]replicaSpec
	r.eachItem(n, path, func(shard *node, path string) {
		replicas := make([]replicaSpec, 0, len(shard.items))
		r.eachItem(shard, path, func(item *node, path string) {
			replicas = append(replicas, r.replica(item, path))
		})
		shards = append(shards, replicas)
	})
	return shards
}

func (r *reader) replica(n *node, path string) replicaSpec {
	var u replicaSpec
	r.object(n, path, []field{
		{"id", r.string(&u.ID)},
		{"address", r.string(&u.Address)},
		{"zone", r.string(&u.Zone)},
		{"draining", r.bool(&u.Draining)},
	})
	return u
}

func (r *reader) zone(n *node, path string) *zoneSpec {
	z := &zoneSpec{}
	r.object(n, path, []field{{"out", r.boolPtr(&z.Out)}})
	return z
}

func (r *reader) upstream(n *node, path string) *upstreamSpec {
	u := &upstreamSpec{}
	r.object(n, path, []field{{"draining", r.boolPtr(&u.Draining)}})
	return u
}

// checkDuplicates reports key hashes, upstream ids and addresses that occur more
// than once in the file.
func (r *reader) checkDuplicates(f *fragment) {
	seen := struct{ keys, ids, addresses map[string]string }{
		keys: make(map[string]string), ids: make(map[string]string), addresses: make(map[string]string),
	}
	for _, name := range sortedKeys(f.customers) {
		for i, hash := range f.customers[name].KeyHashes {
			path := fmt.Sprintf("customers.%s.key_hashes[%d]", name, i)
			r.checkUnique(seen.keys, hash, path, "this key hash is also listed at %s")
		}
	}
	for _, name := range sortedKeys(f.services) {
		f.services[name].eachReplica(func(shard, replica int, u replicaSpec) {
			path := replicaPath(name, shard, replica)
			r.checkUnique(seen.ids, u.ID, path+".id", "this upstream id is also used at %s")
			r.checkUnique(seen.addresses, parseAddress(u.Address).String(), path+".address", "this address is also used at %s")
		})
	}
}

func (r *reader) checkUnique(owners map[string]string, value, path, message string) {
	owner, taken := owners[value]
	if taken {
		r.addProblem(path, fmt.Sprintf(message, owner))
		return
	}
	owners[value] = path
}

func (s *serviceSpec) eachReplica(f func(shard, replica int, u replicaSpec)) {
	for i, shard := range s.Shards {
		for j, u := range shard {
			f(i, j, u)
		}
	}
}

func replicaPath(service string, shard, replica int) string {
	return fmt.Sprintf("services.%s.shards[%d][%d]", service, shard, replica)
}
