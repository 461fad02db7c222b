package leaf

import (
	"net"
	"time"
)

// responseFault is a fault that the policy injects into a response.
type responseFault uint8

const (
	faultNone responseFault = iota
	faultMismatched
	faultTruncated
	faultDuplicated
)

// duplicateLinger is how long the connection of a duplicated response stays open.
const duplicateLinger = 200 * time.Millisecond

// drawFault draws the fault of the next response at random. The leaf's lock is
// held.
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

// applyFault injects a fault into a complete response.
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

// hijack lets write send raw bytes instead of the response and then closes the
// connection.
func (a *attempt) hijack(write func(net.Conn)) {
	a.ctx.HijackSetNoResponse(true)
	a.ctx.Hijack(write)
}
