package caller

import (
	"strconv"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/upstream"
)

// run executes one query: it carries out the actions of the state machine and
// feeds it results and timers.
//
// The goroutine that serves the caller owns the query until finish. After that
// the goroutines that deliver late results feed it, one at a time.
type run struct {
	pool      *upstream.Pool
	query     *scatter.Query
	requestID string
	service   string
	header    []upstream.Field
	body      []byte
	calls     map[int]*upstream.Call
	end       *scatter.Finish

	notify chan struct{}

	mu       sync.Mutex
	inbox    []scatter.Result
	detached bool
}

// Deliver implements upstream.Sink.
func (r *run) Deliver(res scatter.Result) {
	r.mu.Lock()
	if r.detached {
		r.query.OnResult(time.Now(), res)
		r.mu.Unlock()
		return
	}
	r.inbox = append(r.inbox, res)
	r.mu.Unlock()
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// execute runs the query to its end and returns it. It returns at once when the
// query has finished, also while canceled attempts are still winding up.
func (r *run) execute() *scatter.Finish {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.apply(r.query.Start(time.Now()))
	var batch []scatter.Result
	for r.end == nil {
		if at, ok := r.query.NextTimer(); ok {
			timer.Reset(time.Until(at))
		}
		select {
		case <-r.notify:
			batch = r.drain(batch[:0])
			for _, res := range batch {
				r.apply(r.query.OnResult(time.Now(), res))
			}
		case <-timer.C:
			r.apply(r.query.OnTimer(time.Now()))
		}
	}
	r.detach()
	return r.end
}

// drain moves the delivered results to batch.
func (r *run) drain(batch []scatter.Result) []scatter.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch = append(batch, r.inbox...)
	clear(r.inbox)
	r.inbox = r.inbox[:0]
	return batch
}

// detach hands the query to the goroutines that deliver late results.
func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detached = true
	for _, res := range r.inbox {
		r.query.OnResult(time.Now(), res)
	}
	r.inbox = nil
}

func (r *run) apply(actions []scatter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *scatter.Send:
			r.send(a.Attempt)
		case *scatter.Cancel:
			if c := r.calls[a.Attempt]; c != nil {
				c.Cancel()
			}
		case *scatter.Finish:
			end := *a
			r.end = &end
		}
	}
}

func (r *run) send(a scatter.Attempt) {
	c := &upstream.Call{
		Attempt:   a,
		WireID:    r.requestID + "-" + strconv.Itoa(a.ID),
		RequestID: r.requestID,
		Service:   r.service,
		Header:    r.header,
		Body:      r.body,
		Sink:      r,
	}
	r.calls[a.ID] = c
	r.pool.Start(c)
}
