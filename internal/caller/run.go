package caller

import (
	"strconv"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/upstream"
)

// executor executes one query: it carries out the actions of the state machine and
// feeds it results and timers.
//
// At any time at most one goroutine works on the query: the one that found
// nobody working when it delivered an event. It works off what others deliver
// meanwhile. So a result is taken in by the goroutine that has read it, and the
// goroutine that serves the caller wakes up for timers and for the end only.
type executor struct {
	pool      *upstream.Pool
	query     *scatter.Query
	requestID string
	service   string
	header    []upstream.HeaderField
	body      []byte

	// wake tells the serving goroutine that the query has ended or that its
	// timer is due earlier.
	wake chan struct{}

	mu         sync.Mutex
	inbox      []event
	processing bool
	wakeAt     time.Time // when the serving goroutine wakes up by itself
	end        *scatter.Finish

	// The fields below belong to the working goroutine.
	calls      []*upstream.Call // by attempt ID
	callBlock  []upstream.Call  // allocated together; the next calls are taken from it
	spareInbox []event
}

// event is a result, or the passing of time.
type event struct {
	timer  bool
	result scatter.Result
}

// Deliver implements upstream.Sink.
func (r *executor) Deliver(res scatter.Result) { r.enqueue(event{result: res}) }

// execute runs the query to its end and returns it. It returns at once when the
// query has finished, also while canceled attempts are still winding up.
func (r *executor) execute() *scatter.Finish {
	r.mu.Lock()
	r.processing = true
	r.mu.Unlock()
	r.apply(r.query.Start(time.Now()))
	r.processEvents()
	timer := time.NewTimer(time.Until(r.nextWake()))
	defer timer.Stop()
	for {
		if finish := r.finished(); finish != nil {
			return finish
		}
		select {
		case <-r.wake:
		case <-timer.C:
			r.postponeTimer()
			r.enqueue(event{timer: true})
		}
		timer.Reset(time.Until(r.nextWake()))
	}
}

func (r *executor) finished() *scatter.Finish {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// nextWake returns when the serving goroutine has to wake up.
func (r *executor) nextWake() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wakeAt
}

// timerRetryInterval is the wait of the serving goroutine while another one, which works
// on the query, has yet to take the timer in.
const timerRetryInterval = time.Millisecond

// postponeTimer moves the wake-up on, so that an overdue timer is not queued again and
// again.
func (r *executor) postponeTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeAt = time.Now().Add(timerRetryInterval)
}

// enqueue queues an event and works on the query unless somebody does already.
func (r *executor) enqueue(e event) {
	r.mu.Lock()
	r.inbox = append(r.inbox, e)
	if r.processing {
		r.mu.Unlock()
		return
	}
	r.processing = true
	r.mu.Unlock()
	r.processEvents()
}

// processEvents takes in events until there are none.
func (r *executor) processEvents() {
	for {
		batch := r.nextBatch()
		if len(batch) == 0 {
			return
		}
		for i := range batch {
			r.handle(&batch[i])
		}
		clear(batch)
	}
}

// nextBatch returns the queued events. When there are none the work ends: the
// timer is armed and the serving goroutine woken if it has to know.
func (r *executor) nextBatch() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.inbox
	if len(batch) > 0 {
		r.inbox, r.spareInbox = r.spareInbox[:0], batch
		return batch
	}
	r.processing = false
	due, ok := r.query.NextTimer()
	earlier := ok && due.Before(r.wakeAt)
	if ok {
		r.wakeAt = due
	}
	if earlier || r.end != nil {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	return nil
}

func (r *executor) handle(e *event) {
	if e.timer {
		r.apply(r.query.OnTimer(time.Now()))
		return
	}
	r.apply(r.query.OnResult(time.Now(), e.result))
}

func (r *executor) apply(actions []scatter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *scatter.Send:
			r.send(a.Attempt)
		case *scatter.Cancel:
			r.cancel(a.Attempt)
		case *scatter.Finish:
			finish := *a
			r.mu.Lock()
			r.end = &finish
			r.mu.Unlock()
		}
	}
}

func (r *executor) cancel(id int) {
	if id < len(r.calls) && r.calls[id] != nil {
		r.calls[id].Cancel()
	}
}

func (r *executor) send(a scatter.Attempt) {
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

func (r *executor) newCall() *upstream.Call {
	if len(r.callBlock) == 0 {
		r.callBlock = make([]upstream.Call, 1)
	}
	c := &r.callBlock[0]
	r.callBlock = r.callBlock[1:]
	return c
}
