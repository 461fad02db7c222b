package soak

import (
	"encoding/json"
	"fmt"
	"strings"

	"ryecourse.example/ryecourse/internal/core/keys"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

const (
	tenantCount = 8
	searchName  = "catalogue"
	orderName   = "orders"
	shardCount  = 4
)

// tenant is one customer with its keys.
type tenant struct {
	name        string
	rate, burst float64
	key         string
	keyNumber   int
	// eager tenants send several times their rate.
	eager bool
}

func newKey(tenant string, number int) string {
	secret := fmt.Sprintf("%s%d", strings.ReplaceAll(tenant, "-", ""), number)
	return keys.Prefix + secret + strings.Repeat("a", keys.Length-len(keys.Prefix)-len(secret))
}

// layOut creates the upstreams and publishes the first configuration.
func (w *world) layOut() {
	files := map[string]string{"00-zones.json": `{"zones":{}}`}
	for i := range tenantCount {
		t := &tenant{name: fmt.Sprintf("tenant-%d", i), rate: 3, burst: 6}
		if i < 2 {
			t.rate, t.burst = 40, 80
		}
		t.eager = i == 1
		t.key = newKey(t.name, 0)
		w.tenants = append(w.tenants, t)
		w.check.curves[t.name] = &curve{rate: t.rate, burst: t.burst, at: w.clock.Now()}
		files[t.file()] = t.config()
	}
	w.snapshots["s1"] = shardCount
	files["20-"+searchName+".json"] = w.service(searchName, shardCount, 3, `"idempotent":true,"snapshots":true`)
	files["20-"+orderName+".json"] = w.service(orderName, 1, 7, `"single_shard":true`)
	w.platform.publish(files)
}

func (t *tenant) file() string { return "10-" + t.name + ".json" }

func (t *tenant) config() string {
	return fmt.Sprintf(`{"customers":{%q:{"rate":%g,"burst":%g,"key_hashes":[%q]}}}`, t.name, t.rate, t.burst, keys.Hash(t.key))
}

// service creates a service's leaves and returns its file.
func (w *world) service(name string, shards, replicas int, flags string) string {
	type replica struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
	}
	all := make([][]replica, shards)
	for s := range shards {
		for r := range replicas {
			l := &leaf{world: w, id: fmt.Sprintf("%s-%d-%d", name, s, r), service: name, shard: s, zone: zones[(s+r)%len(zones)]}
			if name == searchName {
				l.snapshots = []scatter.SnapshotInfo{{ID: "s1", Shards: shardCount}}
			}
			l.start()
			w.leaves[l.id] = l
			w.leafIDs = append(w.leafIDs, l.id)
			address := fmt.Sprintf("127.0.0.1:%d", 10000+len(w.leafIDs))
			all[s] = append(all[s], replica{ID: l.id, Address: address, Zone: l.zone})
		}
	}
	encoded, err := json.Marshal(all)
	if err != nil {
		panic(err) // only strings are encoded
	}
	return fmt.Sprintf(`{"services":{%q:{"shards":%s,"slots":%d,"connections":%d,"connect_cost_ms":6,"deadline_ms":500,"cold_permits":%d,%s}}}`,
		name, encoded, leafSlots, leafConnections, coldPermits, flags)
}
