package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["twice"] = twiceCase }

const (
	// secondAnswers is the share of its answers of which the faulty leaf sends a second
	// one, in each of twiceEpisodes times of episodeFor.
	secondAnswers = 0.04
	twiceEpisodes = 14
	episodeFor    = 5 * time.Second
	episodePause  = time.Second
	// ordersPerSecond is close to what the two leafs of the service can run, so that they
	// are full for moments.
	ordersPerSecond = 1350
	orderRequesters = 64
	orderWork       = 2500 * time.Microsecond
)

// twiceCase sends requests that may run once at most to a service of two leafs, one of
// which sends a second copy of some of its answers.
func twiceCase(w *world) bool {
	const key = "xmibw6kpqk8bdk9eevyx"
	w.store.put("op/config", config(7, map[string][]string{"miny420": {key}}))
	for i := range 2 {
		l := w.newLeaf("orders", w.zones[i], i+1, 2, orderWork)
		l.queue = 2
		w.leafs = append(w.leafs, l)
	}
	w.heartbeats()
	var mu sync.Mutex
	runs := map[string]int{}
	w.onRan = func(l *leaf, r *received) {
		mu.Lock()
		defer mu.Unlock()
		if runs[r.id]++; runs[r.id] == 2 {
			w.sayf("TWICE: request %s runs again, at leaf %s", r.id, l.id)
		}
	}
	w.addGateways(4)
	w.awaitReady(15 * time.Second)
	var stop atomic.Bool
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	refused := map[string]int{} // guarded by mu
	interval := float64(orderRequesters) / ordersPerSecond * float64(time.Second)
	for i := range orderRequesters {
		wg.Add(1)
		c := &requester{w: w, g: w.gateways[i%len(w.gateways)]}
		go func() {
			defer wg.Done()
			for !stop.Load() {
				time.Sleep(time.Duration(rand.ExpFloat64() * interval))
				res := c.do(request{method: "POST", host: "hufi27.example", path: "/pay/2f", key: key, deadline: 4 * time.Second, body: []byte("robe batch")})
				c.logResult(res)
				sent.Add(1)
				switch res.status {
				case 200:
					served.Add(1)
				case 408, 421, 429, 503:
					mu.Lock()
					refused[res.id] = res.status
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for range twiceEpisodes {
		if w.trouble {
			w.leafs[0].secondAnswers.Store(true)
			w.logf("leaf %s begins to send second answers", w.leafs[0].id)
		}
		time.Sleep(episodeFor)
		w.leafs[0].secondAnswers.Store(false)
		time.Sleep(episodePause)
	}
	stop.Store(true)
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	twice, refusedAndRan := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			twice++
		}
		if status, ok := refused[id]; ok {
			refusedAndRan++
			w.sayf("REFUSED: request %s was answered %d and has run", id, status)
		}
	}
	w.sayf("%d requests, %d served, %d refused; %d ran more than once, %d were refused and have run", sent.Load(), served.Load(), len(refused), twice, refusedAndRan)
	if served.Load() == 0 {
		fail("no request was served")
	}
	return twice == 0 && refusedAndRan == 0
}
