package servedaemon

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/upstream"
)

// randomPicker picks a random replica that is not draining, without load limits. It
// is the baseline for comparisons, selected by the setting policy.random_replica.
type randomPicker struct {
	catalog atomic.Pointer[catalog.Catalog]
}

// Pick implements scatter.Picker.
func (p *randomPicker) Pick(_ time.Time, service string, shard int, tried []string) (scatter.Target, bool) {
	cat := p.catalog.Load()
	s := cat.Services[service]
	if s == nil || shard >= len(s.Shards) {
		return scatter.Target{}, false
	}
	replicas := s.Shards[shard].Replicas
	first := rand.IntN(max(len(replicas), 1))
	for i := range replicas {
		u := &replicas[(first+i)%len(replicas)]
		zone := cat.Zones[u.Zone]
		if u.Draining || zone != nil && zone.OutOfService || slices.Contains(tried, u.ID) {
			continue
		}
		return scatter.Target{Upstream: u.ID, Address: u.Address}, true
	}
	return scatter.Target{}, false
}

// Done implements scatter.Picker.
func (*randomPicker) Done(time.Time, string, int, scatter.Target, scatter.Report) {}

// limits allows this VM the whole connection limit of every upstream.
func (p *randomPicker) limits() []upstream.Limit {
	var out []upstream.Limit
	for _, s := range p.catalog.Load().Services {
		for _, shard := range s.Shards {
			for _, u := range shard.Replicas {
				out = append(out, upstream.Limit{Address: u.Address, Max: s.Connections})
			}
		}
	}
	return out
}
