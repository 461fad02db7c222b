//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"
)

func sortBy[T any](list []T, less func(a, b T) bool) {
	sort.SliceStable(list, func(i, j int) bool { return less(list[i], list[j]) })
}

func main() {
	defer func() {
		if v := recover(); v != nil {
			broken(fmt.Errorf("%v", v))
		}
	}()
	cases := map[string]func(){"cold-again": coldAgain, "leaving": leavingThroughHelper, "cold-herd": coldHerd, "split": splitRoute}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		broken(fmt.Errorf("usage: standin3 CASE"))
	}
	cases[os.Args[1]]()
}

const (
	host    = "shop.example"
	path    = "/search/"
	service = "catalogue"
)

// putConfig writes a configuration with one route that is open to all.
func (w *world) putConfig(kind string, warmupPerSecond float64) {
	w.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-search", "host": host, "prefix": path, "route_type": kind, "timeout_ms": 1200, "slo_ms": 120,
			"priority": 1, "service": service, "attempts": 2, "public": true,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": warmupPerSecond,
		}},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	})
}

// coldAgain: leafs turn cold again while they serve, one at a time, until the rule is broken or
// each of four has. A leaf's entry says so from the same moment on. FAILBACK bounds what reaches a
// cold leaf in one second.
func coldAgain() {
	const perSecond, warmup, warmupPerSecond = 30, 3 * time.Second, 3
	const bound = 9 // warmupPerSecond*warmupOverage + warmupSlack = 9.5
	w := newWorld(8)
	w.putConfig("non_idempotent", warmupPerSecond)
	var leafs []*leaf
	for n := range 4 {
		leafs = append(leafs, w.startLeaf(service, n, 8, 40*time.Millisecond))
	}
	w.startAll()
	q := w.startRequesters(host, path, perSecond)
	time.Sleep(6 * time.Second)
	var text string
	most := 0
	for turn := 0; turn < len(leafs) && most <= bound; turn++ {
		time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(time.Second))))
		l, turns := leafs[turn], time.Now()
		if w.trouble {
			l.mu.Lock()
			l.coldUntil = turns.Add(warmup)
			l.crashAbove = 4 * warmupPerSecond // "crashes at a rate well above that"
			l.mu.Unlock()
			l.announce()
			w.logf("leaf %s is cold for %v, and its entry says so", l.id, warmup)
		}
		time.Sleep(warmup + 500*time.Millisecond)
		var cold []arrival
		for _, a := range l.taken() {
			if a.cold {
				cold = append(cold, a)
			}
		}
		lost := 0
		for _, s := range q.all() {
			if !s.at.Before(turns) && !s.end.IsZero() && s.status != 200 {
				lost++
			}
		}
		most, _ = mostIn(cold, time.Second)
		w.recordBetween(q, leafs, turns.Add(-500*time.Millisecond), turns.Add(3500*time.Millisecond))
		text += fmt.Sprintf("; turn %d: %s got %d requests in one second, crashed: %v, requests without a good answer: %d", turn+1, l.id, most, l.isCrashed(), lost)
	}
	q.stop()
	w.keepLogs()
	w.verdict(most > bound, "FAILBACK: %d requests in one second are allowed at a cold leaf%s", bound, text)
}

// leavingThroughHelper: three machines are partitioned from all leafs and pass on answers that
// other machines have received for them, among them those of leaving leafs. The store is down
// meanwhile. Then the machines reach the leafs again.
func leavingThroughHelper() {
	const perSecond = 25
	w := newWorld(8)
	w.putConfig("idempotent", 0)
	var leafs []*leaf
	for n := range 6 {
		leafs = append(leafs, w.startLeaf(service, n, 3, 15*time.Millisecond))
	}
	w.startAll()
	q := w.startRequesters(host, path, perSecond)
	time.Sleep(8 * time.Second)
	begin, leaving := time.Now(), leafs[:3]
	cutVMs := []int{0, 4, 1} // all of zone a, one of zone b
	cut := func(cut bool) {
		for _, vm := range cutVMs {
			w.logf("%s is partitioned from all leafs: %v", w.vms[vm].name, cut)
			for _, l := range leafs {
				l.cutVM(vm, cut)
			}
		}
	}
	if w.trouble {
		cut(true)
		time.Sleep(300 * time.Millisecond)
		w.store.setDown(true)
	}
	for _, l := range leaving {
		l.mu.Lock()
		l.leaving, l.state = true, "draining"
		l.mu.Unlock()
		accepted := l.announce()
		w.logf("leaf %s leaves and says so in its answers; the store has accepted that it is draining: %v", l.id, accepted)
	}
	time.Sleep(3300 * time.Millisecond)
	if w.trouble {
		cut(false)
	}
	time.Sleep(1200 * time.Millisecond)
	if w.trouble {
		w.store.setDown(false)
	}
	time.Sleep(4500 * time.Millisecond)
	q.stop()
	w.recordBetween(q, leaving, begin, time.Now())
	all := q.all()
	type pair struct {
		vm   int
		leaf string
	}
	passedOn, late := map[pair]time.Time{}, map[string]int{}
	for _, s := range all {
		if p := (pair{s.vm, s.leaf}); s.leaving && (passedOn[p].IsZero() || s.end.Before(passedOn[p])) {
			passedOn[p] = s.end
		}
	}
	total := 0
	for _, l := range leaving {
		for _, a := range l.taken() {
			s, ok := all[a.id]
			since := passedOn[pair{a.vm, l.id}]
			if !ok || since.IsZero() || !s.at.After(since.Add(drainBound)) {
				continue
			}
			total++
			late[w.vms[a.vm].name+" to "+l.id]++
			w.logf("request %s, sent %.3f s after %s had passed on an answer of %s with Server-Leaving, reaches that leaf from it", a.id, s.at.Sub(since).Seconds(), w.vms[a.vm].name, l.id)
		}
	}
	w.keepLogs()
	w.verdict(total > 0, "DRAIN: %d requests that were sent more than %v after a machine had passed on an answer with Server-Leaving reached that leaf from it: %v; pairs of a machine and a leaf with such answers: %d",
		total, drainBound, late, len(passedOn))
}

// coldHerd: all gateways are killed at once and start again while a leaf is cold.
func coldHerd() {
	const perSecond, vms, warmupSeconds, warmupPerSecond = 20, 13, 10, 2
	const bound = 8 // warmupPerSecond*warmupOverage + warmupSlack
	w := newWorld(vms)
	w.putConfig("non_idempotent", warmupPerSecond)
	var leafs []*leaf
	for n := range 2 {
		leafs = append(leafs, w.startLeaf(service, n, 8, 40*time.Millisecond))
	}
	w.startAll()
	q := w.startRequesters(host, path, perSecond)
	time.Sleep(15 * time.Second)
	l := w.startColdLeaf(service, 2, warmupSeconds*time.Second)
	l.mu.Lock()
	l.crashAbove = bound + 1 // "crashes at a rate well above that"
	l.mu.Unlock()
	leafs = append(leafs, l)
	turns := time.Now()
	w.logf("leaf %s starts and is cold for %d s", l.id, warmupSeconds)
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.logf("all gateways are killed")
		var wg sync.WaitGroup
		for _, v := range w.vms {
			wg.Go(v.kill)
		}
		wg.Wait()
		time.Sleep(300 * time.Millisecond)
		for _, v := range w.vms {
			wg.Go(func() {
				time.Sleep(time.Duration(rand.Int64N(int64(300 * time.Millisecond))))
				v.start(false)
			})
		}
		wg.Wait()
	}
	time.Sleep(7 * time.Second)
	q.stop()
	w.recordBetween(q, leafs[2:], turns, time.Now())
	var cold []arrival
	for _, a := range l.taken() {
		if a.cold {
			cold = append(cold, a)
		}
	}
	most, at := mostIn(cold, time.Second)
	lost := 0
	for _, s := range q.all() {
		if s.at.After(turns) && s.status == 502 {
			lost++
		}
	}
	w.keepLogs()
	w.verdict(most > bound, "FAILBACK: the cold leaf got %d requests in one second (from %.3f s after its start), %d are allowed; %d in all while it was cold; it crashed: %v; requests answered 502: %d", most, at.Sub(turns).Seconds(), bound, len(cold), l.isCrashed(), lost)
}

func (w *world) startColdLeaf(service string, n int, cold time.Duration) *leaf {
	w.coldFor = cold
	defer func() { w.coldFor = 0 }()
	return w.startLeaf(service, n, 8, 40*time.Millisecond)
}

// splitRoute: new versions of the configuration split a route and join it again. In each version
// the requests of this case go to the same service.
func splitRoute() {
	const perSecond, versions = 5.6, 28
	const kept, other = "orders", "events"
	w := newWorld(8)
	config := func(version int, split bool) {
		route := func(name, prefix, service string) any {
			return map[string]any{
				"name": name, "host": host, "prefix": prefix, "route_type": "idempotent", "timeout_ms": 4000, "slo_ms": 250,
				"priority": 2, "service": service, "attempts": 2, "public": true,
			}
		}
		routes := []any{route("r-orders", "/orders/", kept)}
		if split {
			routes = []any{route("r-orders", "/orders/", other), route("r-orders-lo", "/orders/lo/", kept)}
		}
		var services []any
		for _, name := range []string{kept, other} {
			services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 45, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0})
		}
		w.store.put("op/config", map[string]any{
			"version": version, "routes": routes, "services": services, "tenants": []any{},
			"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		})
		w.logf("configuration %d is confirmed; %s/orders/lo/ goes to %s, other requests of /orders/ to %s", version, host, kept, map[bool]string{true: other, false: kept}[split])
	}
	config(7, false)
	leafs := map[string][]*leaf{}
	var all []*leaf
	for _, name := range []string{kept, other} {
		for n := range 4 {
			l := w.startLeaf(name, n, 4, 60*time.Millisecond)
			l.spread = 0.5
			leafs[name] = append(leafs[name], l)
		}
		all = append(all, leafs[name]...)
	}
	w.startAll()
	q := w.startRequesters(host, "/orders/lo/", perSecond)
	time.Sleep(6 * time.Second)
	begin := time.Now()
	for i := range versions {
		if w.trouble {
			config(8+i, i%2 == 0)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	q.stop()
	w.recordBetween(q, all, begin, time.Now())
	wrong := 0
	for _, l := range leafs[other] {
		for _, a := range l.taken() {
			if a.ran {
				wrong++
				w.logf("request %s is run by %s of service %s, to which no configuration lets it go; it came from %s", a.id, l.id, other, w.vms[a.vm].name)
			}
		}
	}
	w.keepLogs()
	w.verdict(wrong > 0, "ROUTE: %d requests were run by a service to which no configuration ever let them go; requests in all: %d", wrong, len(q.all()))
}
