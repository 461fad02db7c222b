package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["revoked"] = revoked }

// revoked: a key is taken away, and the store is down for some seconds right after. No request
// that was sent with the key more than revoke_ms after the confirmation may run.
func revoked(w *world) {
	const (
		revokeMs  = 5 * time.Second
		clients   = 8
		rounds    = 6
		downAfter = 150 * time.Millisecond // after the confirmation
		downFor   = 5 * time.Second
	)
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
	for i := range 7 {
		w.startLeaf(fmt.Sprintf("i-orders-%d", i), "orders", "zone-a", "127.0.0.1:0", 4, 10*time.Millisecond, 0)
	}
	for i := range 79 { // of the other services
		w.startLeaf(fmt.Sprintf("i-other-%d", i), fmt.Sprintf("other-%d", i/3), "zone-a", "127.0.0.1:0", 2, 10*time.Millisecond, 0)
	}
	for i := range 2 {
		w.newGateway(i)
	}
	for _, g := range gateways {
		w.start(g, gateways, true, map[string]string{"limits.cores": "2"})
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
					switch d := at.Sub(confirmed); {
					case r.status == 503: // such a requester doesn't wait as instructed
						refused.Add(1)
					case r.status == 200 && d > revokeMs:
						w.rec.say("answer   %s 200, sent %v after the confirmation", id, d)
					case r.status == 401:
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
		if trouble() {
			time.Sleep(downAfter)
			w.rec.say("store    answers 503")
			w.store.setMode(storeBusy)
			time.Sleep(downFor)
			w.store.setMode(storeServes)
			w.rec.say("store    back")
		} else {
			time.Sleep(downAfter + downFor)
		}
		time.Sleep(2500 * time.Millisecond)
		close(stop)
		wg.Wait()
		w.rec.say("round    %d: %d sent, %d refused with 503, %d run too late so far", round, sent.Load(), refused.Load(), ranLate.Load())
		fmt.Printf("round %d: %d sent, %d refused with 503, %d run too late so far\n", round, sent.Load(), refused.Load(), ranLate.Load())
	}
	if trouble() && refused.Load() == 0 {
		cantRun("no request was refused while the store was down")
	}
	w.finish(ranLate.Load() > 0, fmt.Sprintf("CONFIG: %d requests ran that were sent over %v after the confirmation that took their key away", ranLate.Load(), revokeMs))
}
