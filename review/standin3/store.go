//go:build review3

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store. Each machine has an address of it of its own. The addresses of
// leafs are replaced by those for the reading machine, so that links can be cut by machine.
type store struct {
	w      *world
	mu     sync.Mutex
	rev    int64
	items  map[string]item
	events []item
	down   bool // connections are reset, and nothing is written
	leafs  map[string]*leaf
}

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore(w *world) *store {
	return &store{w: w, rev: 100, items: map[string]item{}, leafs: map[string]*leaf{}}
}

// put writes an item and returns false if the store is down.
func (s *store) put(key string, value any) bool {
	data := must(json.Marshal(value))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.rev++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	return true
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok && !s.down {
		s.rev++
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.w.logf("the store is down: %v", down)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) listen(vm int) string {
	l := s.w.listen()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(vm, w, r) }))
	return l.Addr().String()
}

func (s *store) serve(vm int, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	if s.isDown() {
		if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
			nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-range":
		s.mu.Lock()
		var out []item
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				out = append(out, it)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		reply(w, map[string]any{"items": s.forVM(vm, out), "truncated": false, "current_rev": rev})
	case "/api/kv-watch":
		after := must(strconv.ParseInt(q.Get("after"), 10, 64))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		out, rev := s.since(after, q.Get("prefix"))
		for end := time.Now().Add(time.Duration(wait) * time.Millisecond); len(out) == 0 && time.Now().Before(end) && r.Context().Err() == nil; {
			time.Sleep(2 * time.Millisecond)
			out, rev = s.since(after, q.Get("prefix"))
		}
		reply(w, map[string]any{"events": s.forVM(vm, out), "current_rev": rev})
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

func (s *store) since(after int64, prefix string) ([]item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []item{}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
	for _, it := range s.events[i:] {
		if strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	return out, s.rev
}

func (s *store) forVM(vm int, items []item) []item {
	out := make([]item, 0, len(items))
	for _, it := range items {
		s.mu.Lock()
		l := s.leafs[it.Key]
		s.mu.Unlock()
		var entry map[string]any
		if value, err := base64.StdEncoding.DecodeString(it.Value); err == nil && l != nil && json.Unmarshal(value, &entry) == nil {
			entry["address"] = l.addressFor(vm)
			it.Value = base64.StdEncoding.EncodeToString(must(json.Marshal(entry)))
		}
		out = append(out, it)
	}
	return out
}

func reply(w http.ResponseWriter, v any) {
	b := must(json.Marshal(v))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.Write(b)
}
