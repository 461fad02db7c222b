package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's metadata store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the metadata store: one revision counter, range reads, and watches.
type store struct {
	mu       sync.Mutex
	revision int64
	era      int64
	items    map[string]item
	history  []item // all changes of this era, oldest first
	since    int64  // the revision before the oldest change in history
	down     bool
	changed  chan struct{}
}

// storeCopy is a copy of the store's items at a time.
type storeCopy struct {
	revision int64
	items    map[string]item
}

func newStore() *store {
	return &store{revision: 100, era: 1, since: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes an item and returns its revision, which is the confirmation.
func (s *store) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(b), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return s.revision
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the history. The caller holds mu.
func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: map[string]item{}}
	for k, v := range s.items {
		c.items[k] = v
	}
	return c
}

// restore brings the store back from an older copy and begins another era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.history, s.since = c.revision, map[string]item{}, nil, c.revision
	for k, v := range c.items {
		s.items[k] = v
	}
	s.era++
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store at an address.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-key", s.key)
	mux.HandleFunc("/api/kv-range", s.rangeRead)
	mux.HandleFunc("/api/kv-watch", s.watch)
	go http.Serve(l, mux)
}

// rejects answers a request while the store is down.
func (s *store) rejects(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.down
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	if s.rejects(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, it)
}

const pageItems = 500

func (s *store) rangeRead(w http.ResponseWriter, r *http.Request) {
	if s.rejects(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		Revision  int64  `json:"current_rev"`
	}{Items: []item{}, Revision: s.revision}
	for _, k := range keys {
		if len(out.Items) == pageItems {
			out.Truncated = true
			break
		}
		out.Items = append(out.Items, s.items[k])
	}
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	writeJSON(w, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	if s.rejects(w) {
		return
	}
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			s.mu.Unlock()
			return
		}
		if after < s.since || after > s.revision {
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		revision, era, changed := s.revision, s.era, s.changed
		s.mu.Unlock()
		select {
		case <-deadline:
			wait = 0
		default:
		}
		if len(events) > 0 || wait == 0 {
			w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
