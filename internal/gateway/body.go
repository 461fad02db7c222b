package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/connlimit"
)

const (
	// defaultBodyBytes is the limit if the configuration has none.
	defaultBodyBytes = 1 << 20
	// upstreamCopyBytes is the size from which a body is charged twice while it runs, as the
	// upstream's socket holds a copy of it. Shorter ones are written at once.
	upstreamCopyBytes = 4 << 10
	// unreadTimeout is how long a refusal waits for the rest of a body, so that the connection
	// can be kept.
	unreadTimeout = time.Second
)

// readBody reads a body until the request's timeout, or until running requests are ended.
func (g *Gateway) readBody(in *incoming, w http.ResponseWriter, r *http.Request) *refusal {
	if r.ContentLength == 0 {
		return in.run()
	}
	limit := int64(in.view.Table.Config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	// Both fail on a connection that is closed.
	interrupt := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) }
	defer context.AfterFunc(g.drain.ended, interrupt)()
	timer := time.AfterFunc(time.Until(in.started.Add(g.timeout(in))), interrupt)
	body, charged, err := in.conn.ReadBody(r.Body, r.ContentLength, limit)
	isLate := !timer.Stop()
	if err == nil && isLate { // the connection can't be read any more
		in.conn.Release(charged)
	}
	switch {
	case errors.Is(err, connlimit.ErrTooLong):
		return &refusal{reason: ReasonBodyTooLong}
	case errors.Is(err, connlimit.ErrNoRoom):
		return &refusal{ReasonOverMemory, otherVMRetryAfter}
	case err != nil && g.isEnded():
		return &refusal{ReasonStopping, otherVMRetryAfter}
	case isLate:
		return &refusal{reason: ReasonBodyTimedOut}
	case err != nil:
		return &refusal{reason: ReasonBadRequest}
	}
	return in.holdBody(body, charged)
}

// holdBody keeps a body for as long as attempts may use it.
func (in *incoming) holdBody(body []byte, charged int64) *refusal {
	in.body = body
	if copied := int64(len(body)); copied > upstreamCopyBytes {
		if !in.conn.Charge(copied) {
			in.conn.Release(charged)
			return &refusal{ReasonOverMemory, otherVMRetryAfter}
		}
		charged += copied
	}
	in.releaseBody = in.conn.Detach(charged)
	return in.run()
}

// run records that the caller waits from now on.
func (in *incoming) run() *refusal {
	if in.conn.Run() {
		return nil
	}
	return &refusal{ReasonOverMemory, otherVMRetryAfter}
}

// takeBody makes the caller responsible for releasing the body.
func (in *incoming) takeBody() (release func()) {
	release = in.releaseBody
	in.releaseBody = nil
	return release
}

func (in *incoming) releaseHeldBody() {
	if release := in.takeBody(); release != nil {
		release()
	}
}

// closeUnread prepares the refusal of a request whose body hasn't been read to the end, and may
// never end.
func closeUnread(in *incoming, w http.ResponseWriter, reason Reason) {
	until := time.Now()
	switch reason {
	case ReasonOverMemory, ReasonBodyTimedOut, ReasonBodyTooLong, ReasonBadRequest, ReasonStopping:
		w.Header().Set("Connection", "close")
		in.conn.Linger()
	default:
		until = until.Add(unreadTimeout)
	}
	_ = http.NewResponseController(w).SetReadDeadline(until) // fails on a connection that is closed
}
