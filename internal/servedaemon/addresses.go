package servedaemon

import (
	"sync/atomic"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// addressIndex maps the addresses of upstreams to their IDs. Each update replaces
// the whole map, so that reads need no locks.
type addressIndex struct {
	ids atomic.Pointer[map[string]string]
}

func newAddressIndex() *addressIndex {
	b := &addressIndex{}
	b.ids.Store(&map[string]string{})
	return b
}

func (b *addressIndex) update(c *catalog.Catalog) {
	ids := make(map[string]string)
	for _, s := range c.Services {
		for _, shard := range s.Shards {
			for _, u := range shard.Replicas {
				ids[u.Address] = u.ID
			}
		}
	}
	b.ids.Store(&ids)
}

func (b *addressIndex) upstreamID(addr string) (string, bool) {
	id, ok := (*b.ids.Load())[addr]
	return id, ok
}
