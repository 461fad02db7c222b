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
// At any time at most one goroutine works on the query: the one that found
// nobody working when it delivered an event. It works off what others deliver
// meanwhile. So a result is taken in by the goroutine that has read it, and the
// goroutine that serves the caller wakes up for timers and for the end only.
type run struct {
	pool      *upstream.Pool
	query     *scatter.Query
	requestID string
	service   string
	header    []upstream.HeaderField
	body      []byte

	// wake tells the serving goroutine that the query has ended or that its
	// timer is due earlier.
	wake chan struct{}

	mu      sync.Mutex
	inbox   []event
	working bool
	armed   time.Time // when the serving goroutine wakes up by itself
	end     *scatter.Finish

	// The fields below belong to the working goroutine.
	calls []*upstream.Call // by attempt ID
	block []upstream.Call  // allocated together; the next calls are taken from it
	spare []event
}

// event is a result, or the passing of time.
type event struct {
	timer  bool
	result scatter.Result
}

// Deliver implements upstream.Sink.
func (r *run) Deliver(res scatter.Result) { r.take(event{result: res}) }

// execute runs the query to its end and returns it. It returns at once when the
// query has finished, also while canceled attempts are still winding up.
func (r *run) execute() *scatter.Finish {
	r.mu.Lock()
	r.working = true
	r.mu.Unlock()
	r.apply(r.query.Start(time.Now()))
	r.work()
	timer := time.NewTimer(time.Until(r.nextTimer()))
	defer timer.Stop()
	for {
		if end := r.ended(); end != nil {
			return end
		}
		select {
		case <-r.wake:
		case <-timer.C:
			r.snooze()
			r.take(event{timer: true})
		}
		timer.Reset(time.Until(r.nextTimer()))
	}
}

func (r *run) ended() *scatter.Finish {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// nextTimer returns when the serving goroutine has to wake up.
func (r *run) nextTimer() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.armed
}

// timerRetry is the wait of the serving goroutine while another one, which works
// on the query, has yet to take the timer in.
const timerRetry = time.Millisecond

// snooze moves the wake-up on, so that an overdue timer is not queued again and
// again.
func (r *run) snooze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed = time.Now().Add(timerRetry)
}

// take queues an event and works on the query unless somebody does already.
func (r *run) take(e event) {
	r.mu.Lock()
	r.inbox = append(r.inbox, e)
	if r.working {
		r.mu.Unlock()
		return
	}
	r.working = true
	r.mu.Unlock()
	r.work()
}

// work takes in events until there are none.
func (r *run) work() {
	for {
		batch := r.nextBatch()
		if len(batch) == 0 {
			return
		}
		for i := range batch {
			r.feed(&batch[i])
		}
		clear(batch)
	}
}

// nextBatch returns the queued events. When there are none the work ends: the
// timer is armed and the serving goroutine woken if it has to know.
func (r *run) nextBatch() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.inbox
	if len(batch) > 0 {
		r.inbox, r.spare = r.spare[:0], batch
		return batch
	}
	r.working = false
	at, ok := r.query.NextTimer()
	earlier := ok && at.Before(r.armed)
	if ok {
		r.armed = at
	}
	if earlier || r.end != nil {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	return nil
}

func (r *run) feed(e *event) {
	if e.timer {
		r.apply(r.query.OnTimer(time.Now()))
		return
	}
	r.apply(r.query.OnResult(time.Now(), e.result))
}

func (r *run) apply(actions []scatter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *scatter.Send:
			r.send(a.Attempt)
		case *scatter.Cancel:
			r.cancel(a.Attempt)
		case *scatter.Finish:
			end := *a
			r.mu.Lock()
			r.end = &end
			r.mu.Unlock()
		}
	}
}

func (r *run) cancel(id int) {
	if id < len(r.calls) && r.calls[id] != nil {
		r.calls[id].Cancel()
	}
}

func (r *run) send(a scatter.Attempt) {
	c := r.newCall()
	c.Attempt = a
	c.AttemptID = r.requestID + "-" + strconv.Itoa(a.ID)
	c.RequestID = r.requestID
	c.Service = r.service
	c.Header = r.header
	c.Body = r.body
	c.Sink = r
	for len(r.calls) <= a.ID {
		r.calls = append(r.calls, nil)
	}
	r.calls[a.ID] = c
	r.pool.Start(c)
}

func (r *run) newCall() *upstream.Call {
	if len(r.block) == 0 {
		r.block = make([]upstream.Call, 1)
	}
	c := &r.block[0]
	r.block = r.block[1:]
	return c
}
