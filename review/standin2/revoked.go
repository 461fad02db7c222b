package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["revoked"] = revoked }

// revoked: a key is taken away, and the store is down for some seconds right after. No request
// that was sent with the key more than revoke_ms after the confirmation may run.
func revoked(w *world) {
	const revokeMs = 5 * time.Second
	clients, rounds, cores := 16, 5, "1"
	if v := os.Getenv("CLIENTS"); v != "" {
		clients, _ = strconv.Atoi(v)
	}
	if v := os.Getenv("CORES"); v != "" {
		cores = v
	}
	keys := func(round int) []string { return []string{"keep", fmt.Sprintf("key-%d", round)} }
	cfg := func(version int, keys ...string) map[string]any {
		return config{
			version: version, services: []string{"orders"},
			routes:  []map[string]any{route("r-orders", "/orders/", "idempotent", "orders", 4000, 250, 2, false)},
			tenants: []map[string]any{{"name": "miny420", "api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0}},
		}.item()
	}
	version := 7
	w.store.put("op/config", cfg(version, keys(0)...))
	var extra []*leaf
	for i := range 7 {
		extra = append(extra, w.startLeaf(fmt.Sprintf("i-orders-%d", i), "orders", "zone-a", "127.0.0.1:0", 4, 10*time.Millisecond, 0))
	}
	for i := range 79 { // of the other services
		w.startLeaf(fmt.Sprintf("i-other-%d", i), fmt.Sprintf("other-%d", i/3), "zone-a", "127.0.0.1:0", 2, 10*time.Millisecond, 0)
	}
	_ = extra
	for i := range 2 {
		w.newGateway(i)
	}
	for _, g := range gateways {
		w.start(g, gateways, true, map[string]string{"limits.cores": cores})
	}
	for _, g := range gateways {
		w.awaitReady(g)
	}
	time.Sleep(2 * time.Second)

	w.rec.quiet = true
	var mu sync.Mutex
	late := map[string]time.Duration{} // requests that were sent too late, by ID
	var ranLate, sent, refused atomic.Int64
	w.rec.onRun = func(lf *leaf, r *http.Request, id string) {
		mu.Lock()
		d, ok := late[id]
		mu.Unlock()
		if ok {
			ranLate.Add(1)
			w.rec.say("run      %s at %s, sent %v after the confirmation with a key that was taken away", id, lf.id, d)
		}
	}
	for round := range rounds {
		key := keys(round)[1]
		version++
		confirmed := w.store.put("op/config", cfg(version, "keep", keys(round + 1)[1]))
		w.rec.say("revoked  %s by version %d", key, version)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() {
				var c *conn
				for {
					select {
					case <-stop:
						return
					default:
					}
					var err error
					if c == nil {
						if c, err = dial(gateways[i%len(gateways)].front); err != nil {
							time.Sleep(10 * time.Millisecond)
							continue
						}
					}
					id, at := w.newID(), time.Now()
					if d := at.Sub(confirmed); d > revokeMs {
						mu.Lock()
						late[id] = d
						mu.Unlock()
					}
					sent.Add(1)
					r, err := c.do("GET", host, "/orders/"+id, id, key, 4*time.Second, nil)
					if err != nil {
						c.c.Close()
						c = nil
						continue
					}
					if r.status == 503 {
						refused.Add(1)
						continue // doesn't wait
					}
					if r.status == 401 && at.Sub(confirmed) > revokeMs {
						return
					}
				}
			})
		}
		if trouble() {
			time.Sleep(100 * time.Millisecond)
			w.rec.say("store    down")
			w.store.setMode(storeBusy)
			time.Sleep(5500 * time.Millisecond)
			w.store.setMode(storeServes)
			w.rec.say("store    back")
		} else {
			time.Sleep(5600 * time.Millisecond)
		}
		time.Sleep(2500 * time.Millisecond)
		close(stop)
		wg.Wait()
		w.rec.say("round    %d: %d sent, %d refused with 503, %d run too late so far", round, sent.Load(), refused.Load(), ranLate.Load())
		fmt.Printf("round %d: %d sent, %d refused with 503, %d run too late so far\n", round, sent.Load(), refused.Load(), ranLate.Load())
	}
	w.finish(ranLate.Load() > 0, fmt.Sprintf("CONFIG: %d requests ran that were sent over %v after the confirmation that took their key away", ranLate.Load(), revokeMs))
}
