//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is one attempt of a requester.
type sent struct {
	id      string
	vm      int
	at, end time.Time
	status  int // 0 without an answer
	leaving bool
	limited bool   // the answer named Server-Limit
	leaf    string // from its receipt
	err     string
}

// requesters send requests to the gateways at a fixed mean rate for each, over kept connections.
type requesters struct {
	w      *world
	host   string
	path   string
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu   sync.Mutex
	sent map[string]*sent
	n    int
}

const timeBudget = 1200 * time.Millisecond

func (w *world) startRequesters(host, path string, perSecond float64) *requesters {
	ctx, cancel := context.WithCancel(context.Background())
	q := &requesters{w: w, host: host, path: path, cancel: cancel, sent: map[string]*sent{}}
	for _, v := range w.vms {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
		q.done.Add(1)
		go func() {
			defer q.done.Done()
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
				q.done.Add(1)
				go func() {
					defer q.done.Done()
					q.send(client, v)
				}()
			}
		}()
	}
	return q
}

func (q *requesters) send(client *http.Client, v *vm) {
	q.mu.Lock()
	q.n++
	s := &sent{id: fmt.Sprintf("%08x%08x", rand.Uint32(), q.n), vm: v.index, at: time.Now()}
	q.sent[s.id] = s
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	r := must(http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.front+q.path+s.id, nil))
	r.Host = q.host
	r.Header.Set("X-Ryecourse-Request-Id", s.id)
	r.Header.Set("X-Ryecourse-Request-Deadline", fmt.Sprint(timeBudget.Milliseconds()))
	resp, err := client.Do(r)
	var status int
	var leaving bool
	var leaf string
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status, leaving = resp.StatusCode, resp.Header.Get("Server-Leaving") == "1"
		leaf, _, _ = strings.Cut(resp.Header.Get("X-Ryecourse-Server-Stamp"), ".")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s.end, s.status, s.leaving, s.leaf = time.Now(), status, leaving, leaf
	if err != nil {
		s.status, s.err = 0, err.Error()
	}
}

func (q *requesters) stop() {
	q.cancel()
	q.done.Wait()
}

// all returns copies of the attempts so far, by id.
func (q *requesters) all() map[string]sent {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]sent, len(q.sent))
	for id, s := range q.sent {
		out[id] = *s
	}
	return out
}

// recordBetween writes what was sent, answered and run in a span of time.
func (w *world) recordBetween(q *requesters, leafs []*leaf, from, to time.Time) {
	all := q.all()
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, s := range all {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		lines = append(lines, line{s.at, fmt.Sprintf("request %s sent to %s", s.id, w.vms[s.vm].name)})
		note := ""
		if s.leaving {
			note = ", with Server-Leaving"
		}
		if s.err != "" {
			note += ", " + s.err
		}
		lines = append(lines, line{s.end, fmt.Sprintf("request %s answered: %d%s", s.id, s.status, note)})
	}
	for _, l := range leafs {
		for _, a := range l.taken() {
			if a.at.Before(from) || a.at.After(to) {
				continue
			}
			note := ""
			if a.cold {
				note = ", which is cold"
			}
			if !a.ran {
				note += ", and isn't run"
			}
			lines = append(lines, line{a.at, fmt.Sprintf("request %s reaches %s from %s%s", a.id, l.id, w.vms[a.vm].name, note)})
		}
	}
	sortBy(lines, func(a, b line) bool { return a.at.Before(b.at) })
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range lines {
		fmt.Fprintf(&w.record, "%8.3f  %s\n", l.at.Sub(w.begin).Seconds(), l.text)
	}
}
