package soak

import (
	"encoding/json"
	"fmt"
	"strings"

	"ryecourse.example/ryecourse/internal/core/keys"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

const (
	customerCount = 8
	searchService = "catalogue"
	orderService  = "orders"
	shardCount    = 4
)

// customer is one customer with its current key.
type customer struct {
	name        string
	rate, burst float64
	key         string
	keyNumber   int
	// overLimit is set for the customer that sends more than its rate.
	overLimit bool
}

func newKey(customer string, number int) string {
	secret := fmt.Sprintf("%s%d", strings.ReplaceAll(customer, "-", ""), number)
	return keys.Prefix + secret + strings.Repeat("a", keys.Length-len(keys.Prefix)-len(secret))
}

// setUp creates the upstreams and publishes the first configuration.
func (w *world) setUp() {
	files := map[string]string{"00-zones.json": `{"zones":{}}`}
	for i := range customerCount {
		c := &customer{name: fmt.Sprintf("tenant-%d", i), rate: 3, burst: 6}
		if i < 2 {
			c.rate, c.burst = 40, 80
		}
		c.overLimit = i == 1
		c.key = newKey(c.name, 0)
		w.customers = append(w.customers, c)
		w.check.curves[c.name] = &curve{rate: c.rate, burst: c.burst, updatedAt: w.clock.Now()}
		files[c.fileName()] = c.fileContent()
	}
	w.snapshots["s1"] = shardCount
	files["20-"+searchService+".json"] = w.createService(searchService, shardCount, 3, `"idempotent":true,"snapshots":true`)
	files["20-"+orderService+".json"] = w.createService(orderService, 1, 7, `"single_shard":true`)
	w.platform.publish(files)
}

func (c *customer) fileName() string { return "10-" + c.name + ".json" }

func (c *customer) fileContent() string {
	return fmt.Sprintf(`{"customers":{%q:{"rate":%g,"burst":%g,"key_hashes":[%q]}}}`, c.name, c.rate, c.burst, keys.Hash(c.key))
}

// createService creates the upstreams of a service and returns the content of its
// configuration file.
func (w *world) createService(name string, shards, replicas int, flags string) string {
	type replica struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
	}
	all := make([][]replica, shards)
	for s := range shards {
		for r := range replicas {
			u := &upstream{world: w, id: fmt.Sprintf("%s-%d-%d", name, s, r), service: name, shard: s, zone: zones[(s+r)%len(zones)]}
			if name == searchService {
				u.snapshots = []scatter.SnapshotInfo{{ID: "s1", Shards: shardCount}}
			}
			u.start()
			w.upstreams[u.id] = u
			w.upstreamIDs = append(w.upstreamIDs, u.id)
			address := fmt.Sprintf("127.0.0.1:%d", 10000+len(w.upstreamIDs))
			all[s] = append(all[s], replica{ID: u.id, Address: address, Zone: u.zone})
		}
	}
	encoded, err := json.Marshal(all)
	if err != nil {
		panic(err) // only strings are encoded
	}
	return fmt.Sprintf(`{"services":{%q:{"shards":%s,"slots":%d,"connections":%d,"connect_cost_ms":6,"deadline_ms":500,"cold_permits":%d,%s}}}`,
		name, encoded, upstreamSlots, upstreamConnections, coldPermits, flags)
}
