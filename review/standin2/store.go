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

// storeMode is how the platform's store treats calls.
type storeMode int

const (
	storeServes storeMode = iota
	storeBusy             // 503: nothing was done
	storeResets           // the connection is reset
)

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// historyTime is platform.history_s of the settings.
const historyTime = 20 * time.Second

// store is a stand-in of the platform's metadata store as PROTOCOL.md describes it. All its
// writes come from this program.
type store struct {
	mu      sync.Mutex
	rev     int64
	era     int64
	items   map[string]item
	history []item
	// gone is the revision up to which the history was discarded, after historyTime.
	gone int64
	mode storeMode
	// capped: answers to watches are of the size of a page, too, on which the pages are silent.
	capped  bool
	changed chan struct{}
	addr    string
}

func newStore() *store {
	s := &store{rev: 100, era: 1, items: map[string]item{}, changed: make(chan struct{})}
	s.gone = s.rev
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-key", s.key)
	mux.HandleFunc("/api/kv-range", s.list)
	mux.HandleFunc("/api/kv-watch", s.watch)
	l := listen("127.0.0.1:0")
	s.addr = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode, era := s.mode, s.era
		s.mu.Unlock()
		switch mode {
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case storeResets:
			reset(w)
			return
		}
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		w.Header().Set("Content-Type", "application/json")
		mux.ServeHTTP(w, r)
	}))
	return s
}

func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

// wake must be called with mu held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item, and returns when the write was confirmed.
func (s *store) put(key string, value any) time.Time {
	b, ok := value.([]byte)
	if !ok {
		b, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	old, known := s.items[key]
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(b), Revision: s.rev, Created: s.rev, at: time.Now()}
	if known {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
	return time.Now()
}

func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return time.Now()
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.rev, Deleted: true, at: time.Now()})
	s.wake()
	return time.Now()
}

// snapshot is a copy of the store.
type snapshot struct {
	rev   int64
	items map[string]item
}

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := snapshot{rev: s.rev, items: map[string]item{}}
	for k, v := range s.items {
		c.items[k] = v
	}
	return c
}

// restore brings the store back from a copy: the next era begins.
func (s *store) restore(c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.items, s.history, s.gone = c.rev, c.items, nil, c.rev
	s.wake()
}

func answer(w http.ResponseWriter, v any) { json.NewEncoder(w).Encode(v) }

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": 0, "current_rev": s.rev})
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out, size := []item{}, 0
	for _, k := range keys {
		if size += len(s.items[k].Value); len(out) > 0 && (len(out) == pageItems || size > pageBytes) {
			break
		}
		out = append(out, s.items[k])
	}
	truncated := len(out) < len(keys)
	answer(w, map[string]any{"items": out, "truncated": truncated, "current_rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
			s.gone, s.history = s.history[0].Revision, s.history[1:]
		}
		if after < s.gone || after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out, size, rev, changed := []item{}, 0, s.rev, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				if size += len(it.Value); s.capped && len(out) > 0 && size > pageBytes {
					rev = out[len(out)-1].Revision
					break
				}
				out = append(out, it)
			}
		}
		s.mu.Unlock()
		if len(out) > 0 {
			answer(w, map[string]any{"events": out, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, map[string]any{"events": out, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
