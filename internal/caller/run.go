package caller

import (
	"strconv"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/upstream"
)

// executor runs one query: it carries out the actions of the query's state
// machine and passes results and timer events to it.
//
// At most one goroutine processes the query at a time: the one that queues an
// event while no other is processing. It also handles the events that other
// goroutines queue meanwhile. A result can therefore be handled by the
// goroutine that read it, and the goroutine that serves the caller wakes up
// only for timers and for the end of the query.
type executor struct {
	pool      *upstream.Pool
	query     *scatter.Query
	requestID string
	service   string
	header    []upstream.HeaderField
	body      []byte
	hold      *upstream.Hold

	// stopped is closed when the query must end, as the daemon stops.
	stopped <-chan struct{}
	// wake signals the serving goroutine that the query has ended or that its
	// timer is due earlier.
	wake chan struct{}

	mu         sync.Mutex
	inbox      []event
	processing bool
	wakeAt     time.Time // when the serving goroutine's timer is due
	end        *scatter.Finish

	// The fields below are used only by the goroutine that processes the query.
	calls      []*upstream.Call // by attempt ID
	callBlock  []upstream.Call  // calls allocated in advance, used from the front
	spareInbox []event
}

// event is a result, an expired timer, or the end of the daemon's drain.
type event struct {
	timer, stopped bool
	result         scatter.Result
}

// Deliver implements upstream.Sink.
func (r *executor) Deliver(res scatter.Result) { r.enqueue(event{result: res}) }

// execute runs the query and returns how it finished. It doesn't wait for
// canceled attempts to end.
func (r *executor) execute() *scatter.Finish {
	r.mu.Lock()
	r.processing = true
	r.mu.Unlock()
	r.apply(r.query.Start(time.Now()))
	r.processEvents()
	timer := time.NewTimer(time.Until(r.nextWake()))
	defer timer.Stop()
	stopped := r.stopped
	for {
		if finish := r.finished(); finish != nil {
			return finish
		}
		select {
		case <-r.wake:
		case <-timer.C:
			r.postponeTimer()
			r.enqueue(event{timer: true})
		case <-stopped:
			stopped = nil
			r.enqueue(event{stopped: true})
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

// timerRetryInterval is how long the serving goroutine waits, after it queued a
// timer event, for the goroutine that processes the query to handle it.
const timerRetryInterval = time.Millisecond

// postponeTimer delays the next wake-up, so that an overdue timer is not queued
// repeatedly.
func (r *executor) postponeTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeAt = time.Now().Add(timerRetryInterval)
}

// enqueue queues an event and processes the queue unless another goroutine is
// doing so.
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

// processEvents handles queued events until there are none.
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

// nextBatch returns the queued events. If there are none, processing ends:
// nextBatch sets the time of the next wake-up, and wakes the serving goroutine
// if that time is earlier than before or the query has finished.
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
	switch {
	case e.timer:
		r.apply(r.query.OnTimer(time.Now()))
	case e.stopped:
		r.apply(r.query.Expire(time.Now()))
	default:
		r.apply(r.query.OnResult(time.Now(), e.result))
	}
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
	c.Sink, c.Hold = r, r.hold
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
