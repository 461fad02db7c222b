package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["junk"] = junk }

func junk(w *world) {
	count := 40
	if v := os.Getenv("COUNT"); v != "" {
		count, _ = strconv.Atoi(v)
	}
	w.store.put("op/config", config{
		version: 7, services: []string{"events"},
		routes: []map[string]any{route("r-events", "/events/", "idempotent", "events", 4000, 250, 2, true)},
	}.item())
	for i := range 4 {
		w.startLeaf(fmt.Sprintf("i-events-%d", i), "events", "zone-a", "127.0.0.1:0", 4, 60*time.Millisecond, 0)
	}
	w.rec.onRun = func(lf *leaf, r *http.Request, id string) {}
	for i := range 2 {
		w.newGateway(i)
	}
	for _, g := range gateways {
		w.start(g, gateways, true, nil)
	}
	for _, g := range gateways {
		w.awaitReady(g)
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var enforcing sync.WaitGroup
	for _, g := range gateways {
		enforcing.Go(func() { w.enforceMemory(g, stop) })
	}
	time.Sleep(2 * time.Second)
	blob := bytes.Repeat([]byte{0x1f, 0x8b, 0xff, 0}, 1<<18)
	w.rec.say("trouble  %d entries of 1 MB by another writer", count)
	for i := range count {
		w.store.put(fmt.Sprintf("servers/other-%d", i), blob)
	}
	for i := range 30 {
		time.Sleep(time.Second)
		codes := []int{}
		for _, g := range gateways {
			r, err := http.Get("http://" + g.ready + "/api/readiness")
			if err == nil {
				r.Body.Close()
				codes = append(codes, r.StatusCode)
			} else {
				codes = append(codes, 0)
			}
		}
		fmt.Println(i, codes, gateways[0].residentMB(), gateways[0].peakMB.Load(), gateways[0].kills)
	}
	close(stop)
	enforcing.Wait()
	w.finish(false, "")
}
