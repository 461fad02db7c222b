package leaf

import (
	"net"
	"time"
)

// responseFault is a way in which an answer is wrong.
type responseFault uint8

const (
	faultNone responseFault = iota
	faultMismatched
	faultTruncated
	faultDuplicated
)

// duplicateLinger is how long a connection with a duplicated answer stays open.
const duplicateLinger = 200 * time.Millisecond

// drawFault draws the next answer's misbehavior. The leaf's lock is held.
func (inc *incarnation) drawFault() responseFault {
	p := &inc.leaf.policy
	if p.MismatchedFraction+p.TruncatedFraction+p.DuplicatedFraction <= 0 {
		return faultNone
	}
	x := inc.leaf.rng.Float64()
	switch {
	case x < p.MismatchedFraction:
		return faultMismatched
	case x < p.MismatchedFraction+p.TruncatedFraction:
		return faultTruncated
	case x < p.MismatchedFraction+p.TruncatedFraction+p.DuplicatedFraction:
		return faultDuplicated
	}
	return faultNone
}

// applyFault spoils a finished answer.
func (a *attempt) applyFault(otherAttempt string, m responseFault) {
	r := &a.ctx.Response
	switch m {
	case faultNone:
	case faultMismatched:
		r.Header.Set("X-Attempt-Id", otherAttempt)
	case faultTruncated:
		body := r.Body()
		r.Header.SetContentLength(len(body))
		raw := append(r.Header.Header(), body[:len(body)/2]...)
		a.hijack(func(c net.Conn) { _, _ = c.Write(raw) })
	case faultDuplicated:
		body := r.Body()
		r.Header.SetContentLength(len(body))
		raw := append(r.Header.Header(), body...)
		twice := append(raw, raw...)
		a.hijack(func(c net.Conn) {
			_, _ = c.Write(twice)
			time.Sleep(duplicateLinger)
		})
	}
}

// hijack lets write send raw bytes instead of the response. The connection is
// closed after.
func (a *attempt) hijack(write func(net.Conn)) {
	a.ctx.HijackSetNoResponse(true)
	a.ctx.Hijack(write)
}
