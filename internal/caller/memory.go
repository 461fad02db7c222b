package caller

import (
	"bytes"
	"errors"
	"io"
	"net"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// decodeFactor is the memory of a body as a multiple of its size: what was read, and the query
// that upstreams are sent.
const decodeFactor = 2

// overMemory is the refusal of a request for which callers' connections leave no memory.
func overMemory() *verdict.Refusal {
	return verdict.Refuse(verdict.CodeOverloaded, restartRetryAfter, "The callers of this VM hold too much of its memory.")
}

// readBody reads the request's body, for as long as the server's read timeout allows.
func (r *request) readBody() *verdict.Refusal {
	if r.conn.IsRefused() {
		return r.refuseUnread(overMemory())
	}
	stream := r.ctx.RequestBodyStream()
	if stream == nil {
		stream = bytes.NewReader(nil)
	}
	length := int64(r.ctx.Request.Header.ContentLength())
	body, charged, err := r.conn.ReadBody(stream, max(length, -1), r.server.maxBody)
	if err != nil {
		return r.refuseUnread(bodyRefusal(err))
	}
	r.payload, r.charged = body, charged
	more := (decodeFactor - 1) * int64(len(body))
	if !r.conn.Charge(more) {
		return overMemory()
	}
	r.charged += more
	if !r.conn.Run() {
		return overMemory()
	}
	return nil
}

// refuseUnread makes the refusal of a request whose body hasn't been read close the connection.
func (r *request) refuseUnread(refusal *verdict.Refusal) *verdict.Refusal {
	r.ctx.SetConnectionClose()
	r.conn.Linger()
	return refusal
}

func bodyRefusal(err error) *verdict.Refusal {
	var netErr net.Error
	switch {
	case errors.Is(err, connlimit.ErrTooLong):
		return verdict.Refuse(verdict.CodeTooLarge, 0, "The request's body is too large.")
	case errors.Is(err, connlimit.ErrNoRoom):
		return overMemory()
	case errors.As(err, &netErr) && netErr.Timeout():
		return verdict.Refuse(verdict.CodeBadRequest, 0, "The request took too long to arrive.")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return verdict.Refuse(verdict.CodeBadRequest, 0, "The request's body is incomplete.")
	}
	return verdict.Refuse(verdict.CodeBadRequest, 0, "The request isn't valid HTTP.")
}

// release returns what the body and the responses of upstreams hold.
func (r *request) release() {
	r.conn.Release(r.charged)
	r.hold.Release()
}

// chargeAnswer charges for an answer until it has been written. It returns a refusal if there is
// no room for it.
func (r *request) chargeAnswer(a *scatter.Answer) *verdict.Refusal {
	size := int64(answerSize(a))
	r.server.sizes.Observe(r.service.Name, size)
	if r.conn.ChargeAnswer(size) {
		return nil
	}
	return verdict.Refuse(verdict.CodeConnectionLost, 0, "The callers of this VM hold too much of its memory for the answer.").WithVerdict(verdict.Ran)
}
