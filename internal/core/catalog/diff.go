package catalog

import (
	"encoding/json"
	"fmt"
	"slices"
)

// hashPrefixLen is the number of digits of a key's hash that are displayed.
const hashPrefixLen = 8

// Change is one difference between two catalogs.
type Change struct {
	// Kind is "customer", "service", "upstream" or "zone".
	Kind string `json:"kind"`
	// Name is the object's name or id.
	Name string `json:"name"`
	// Field is the field that differs. It is empty when the object was added
	// or removed.
	Field string `json:"field,omitempty"`
	// From and To are the values as JSON. From is empty for an addition, To for a
	// removal. Key hashes are truncated to a short prefix.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	subject := c.Kind + " " + c.Name
	switch {
	case c.Field != "" && c.From == "":
		return fmt.Sprintf("~ %s: %s added %s", subject, c.Field, c.To)
	case c.Field != "" && c.To == "":
		return fmt.Sprintf("~ %s: %s removed %s", subject, c.Field, c.From)
	case c.Field != "":
		return fmt.Sprintf("~ %s: %s %s -> %s", subject, c.Field, c.From, c.To)
	case c.From == "":
		return fmt.Sprintf("+ %s %s", subject, c.To)
	}
	return fmt.Sprintf("- %s %s", subject, c.From)
}

// Diff returns the changes that lead from a to b, ordered by kind, name and
// field. A nil catalog counts as empty.
func Diff(a, b *Catalog) []Change {
	if a == nil {
		a = &Catalog{}
	}
	if b == nil {
		b = &Catalog{}
	}
	var out []Change
	out = append(out, diffObjects("customer", a.Customers, b.Customers, customerFields)...)
	out = append(out, diffObjects("service", a.Services, b.Services, serviceFields)...)
	out = append(out, diffObjects("upstream", changedUpstreams(a, b), changedUpstreams(b, a), upstreamFields)...)
	out = append(out, diffObjects("zone", a.Zones, b.Zones, zoneFields)...)
	return out
}

// fieldValue is one field of an object for comparison. The members of a set are
// compared individually. Only a prefix of a secret member is displayed.
type fieldValue struct {
	name   string
	value  any
	set    []string
	secret bool
}

func (f fieldValue) formatMember(member string) string {
	if f.secret {
		member = member[:hashPrefixLen]
	}
	return encode(member)
}

func (f fieldValue) displayValue() any {
	if f.value != nil {
		return f.value
	}
	members := make([]json.RawMessage, len(f.set))
	for i, member := range f.set {
		members[i] = json.RawMessage(f.formatMember(member))
	}
	return members
}

func diffObjects[T comparable](kind string, a, b map[string]T, fields func(T) []fieldValue) []Change {
	names := make(map[string]bool, len(a)+len(b))
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	var out []Change
	for _, name := range sortedKeys(names) {
		before, hadBefore := a[name]
		after, hasAfter := b[name]
		switch {
		case !hadBefore:
			out = append(out, Change{Kind: kind, Name: name, To: summary(fields(after))})
		case !hasAfter:
			out = append(out, Change{Kind: kind, Name: name, From: summary(fields(before))})
		case before == after:
			// Both catalogs share the object, so it is unchanged.
		default:
			out = append(out, diffFields(kind, name, fields(before), fields(after))...)
		}
	}
	return out
}

func diffFields(kind, name string, a, b []fieldValue) []Change {
	var out []Change
	for i := range a {
		if a[i].value == nil {
			out = append(out, diffSet(kind, name, a[i], b[i])...)
			continue
		}
		from, to := encode(a[i].value), encode(b[i].value)
		if from != to {
			out = append(out, Change{Kind: kind, Name: name, Field: a[i].name, From: from, To: to})
		}
	}
	return out
}

func diffSet(kind, name string, a, b fieldValue) []Change {
	var out []Change
	for _, member := range a.set {
		if !slices.Contains(b.set, member) {
			out = append(out, Change{Kind: kind, Name: name, Field: a.name, From: a.formatMember(member)})
		}
	}
	for _, member := range b.set {
		if !slices.Contains(a.set, member) {
			out = append(out, Change{Kind: kind, Name: name, Field: a.name, To: a.formatMember(member)})
		}
	}
	return out
}

func summary(fields []fieldValue) string {
	out := make(map[string]any, len(fields))
	for _, f := range fields {
		out[f.name] = f.displayValue()
	}
	return encode(out)
}

func encode(v any) string {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // Only numbers, strings and booleans are passed.
	}
	return string(out)
}

func customerFields(c *Customer) []fieldValue {
	return []fieldValue{
		{name: "key_hashes", set: c.KeyHashes, secret: true},
		{name: "rate", value: c.Rate},
		{name: "burst", value: c.Burst},
		{name: "services", set: c.Services},
	}
}

func serviceFields(s *Service) []fieldValue {
	return []fieldValue{
		{name: "shards", value: len(s.Shards)},
		{name: "slots", value: s.Slots},
		{name: "connections", value: s.Connections},
		{name: "connect_cost_ms", value: inMilliseconds(s.ConnectCost)},
		{name: "deadline_ms", value: inMilliseconds(s.Deadline)},
		{name: "idempotent", value: s.Idempotent},
		{name: "open", value: s.Open},
		{name: "single_shard", value: s.SingleShard},
		{name: "snapshots", value: s.Snapshots},
		{name: "cold_permits", value: s.ColdPermits},
	}
}

// placedUpstream is an upstream with its service and shard, so that a move to
// another one shows up as a change.
type placedUpstream struct {
	Upstream
	service string
	shard   int
}

// changedUpstreams returns the upstreams of those services of c that other
// doesn't share.
func changedUpstreams(c, other *Catalog) map[string]placedUpstream {
	out := make(map[string]placedUpstream)
	for name, s := range c.Services {
		if other.Services[name] == s {
			continue
		}
		for i, shard := range s.Shards {
			for _, u := range shard.Replicas {
				out[u.ID] = placedUpstream{Upstream: u, service: name, shard: i}
			}
		}
	}
	return out
}

func upstreamFields(u placedUpstream) []fieldValue {
	return []fieldValue{
		{name: "service", value: u.service},
		{name: "shard", value: u.shard},
		{name: "address", value: u.Address},
		{name: "zone", value: u.Zone},
		{name: "draining", value: u.Draining},
	}
}

func zoneFields(z *Zone) []fieldValue {
	return []fieldValue{{name: "out", value: z.OutOfService}}
}
