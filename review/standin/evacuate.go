package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["evacuate"] = evacuateCase }

const (
	// evacuateBound is bounds.evacuate_ms.
	evacuateBound = 5 * time.Second
	// hungShare is the share of requests that leafs leave without an answer for hungFor.
	hungShare = 0.6
	hungFor   = 9 * time.Second
	// evacuatedAfter is the time from the beginning of that to the evacuation of a zone.
	evacuatedAfter = 3 * time.Second
	// batchConns is the number of connections that a leaf accepts.
	batchConns       = 26
	batchPerSecond   = 240
	batchRequesters  = 1200
	batchTimeBudget  = 5 * time.Second
	batchWork        = 20 * time.Millisecond
	batchLeafs       = 2
	evacuationRounds = 2
)

// evacuateCase evacuates a zone while leafs leave a part of their requests without an
// answer, so that requests wait for connections.
func evacuateCase(w *world) bool {
	const key = "xmibw6kpqk8bdk9eevyx"
	c := config(7, map[string][]string{"miny420": {key}})
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = batchTimeBudget.Milliseconds()
	}
	for _, s := range c["services"].([]any) {
		s.(map[string]any)["max_conns"] = batchConns
	}
	w.store.put("op/config", c)
	for i := range batchLeafs {
		l := w.newLeaf("orders", w.zones[i%2], i+1, 4, batchWork)
		l.maxConns = batchConns
		w.leafs = append(w.leafs, l)
	}
	w.heartbeats()
	zone := w.zones[0]
	var confirmedAt, late atomic.Int64 // the time in ns, 0 while the zone isn't evacuated
	w.onArrival = func(l *leaf, r *received) {
		at := confirmedAt.Load()
		if at == 0 || l.zone != zone {
			return
		}
		if since := time.Since(time.Unix(0, at)); since > evacuateBound {
			late.Add(1)
			w.sayf("EVAC: request %s reaches leaf %s %d ms after the evacuation of its zone was confirmed", r.id, l.id, since.Milliseconds())
		}
	}
	w.addGateways(4)
	w.awaitReady(15 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	interval := float64(batchRequesters) / batchPerSecond * float64(time.Second)
	for i := range batchRequesters {
		wg.Add(1)
		c := &requester{w: w, g: w.gateways[i%len(w.gateways)]}
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * interval)):
				}
				res := c.do(request{method: "POST", host: "hufi27.example", path: "/pay/2f", key: key, deadline: batchTimeBudget, body: []byte("robe batch")})
				c.logResult(res)
				sent.Add(1)
				if res.status == 200 {
					served.Add(1)
				}
			}
		}()
	}
	time.Sleep(6 * time.Second)
	for range evacuationRounds {
		if w.trouble {
			w.sayf("the leafs begin to leave requests without an answer")
			for _, l := range w.leafs {
				l.hangs.Store(true)
			}
		}
		time.Sleep(evacuatedAfter)
		w.store.put("op/evacuate/"+zone, map[string]any{})
		confirmedAt.Store(time.Now().UnixNano())
		w.sayf("the evacuation of zone %s is confirmed", zone)
		time.Sleep(hungFor - evacuatedAfter)
		for _, l := range w.leafs {
			l.hangs.Store(false)
		}
		time.Sleep(3 * time.Second)
		confirmedAt.Store(0)
		w.store.delete("op/evacuate/" + zone)
		w.sayf("the zone is taken back")
		time.Sleep(12 * time.Second)
	}
	close(stop)
	wg.Wait()
	w.sayf("%d requests, %d served; %d reached a leaf of the evacuated zone too late", sent.Load(), served.Load(), late.Load())
	if served.Load() == 0 {
		fail("no request was served")
	}
	return late.Load() == 0
}
