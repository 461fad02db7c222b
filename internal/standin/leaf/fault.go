package leaf

import (
	"net"
	"time"
)

// misbehavior is a way in which an answer is wrong.
type misbehavior uint8

const (
	behaves misbehavior = iota
	crosses
	truncates
	duplicates
)

// duplicateLinger is how long a connection with a duplicated answer stays open.
const duplicateLinger = 200 * time.Millisecond

// drawMisbehavior draws the next answer's misbehavior. The leaf's lock is held.
func (inc *incarnation) drawMisbehavior() misbehavior {
	p := &inc.leaf.policy
	if p.MismatchedFraction+p.TruncatedFraction+p.DuplicatedFraction <= 0 {
		return behaves
	}
	x := inc.leaf.rng.Float64()
	switch {
	case x < p.MismatchedFraction:
		return crosses
	case x < p.MismatchedFraction+p.TruncatedFraction:
		return truncates
	case x < p.MismatchedFraction+p.TruncatedFraction+p.DuplicatedFraction:
		return duplicates
	}
	return behaves
}

// misbehave spoils a finished answer.
func (a *attempt) misbehave(other string, m misbehavior) {
	r := &a.ctx.Response
	switch m {
	case behaves:
	case crosses:
		r.Header.Set("X-Attempt-Id", other)
	case truncates:
		body := r.Body()
		r.Header.SetContentLength(len(body))
		raw := append(r.Header.Header(), body[:len(body)/2]...)
		a.takeOver(func(c net.Conn) { _, _ = c.Write(raw) })
	case duplicates:
		body := r.Body()
		r.Header.SetContentLength(len(body))
		raw := append(r.Header.Header(), body...)
		twice := append(raw, raw...)
		a.takeOver(func(c net.Conn) {
			_, _ = c.Write(twice)
			time.Sleep(duplicateLinger)
		})
	}
}

// takeOver lets write send raw bytes instead of the response. The connection is
// closed after.
func (a *attempt) takeOver(write func(net.Conn)) {
	a.ctx.HijackSetNoResponse(true)
	a.ctx.Hijack(write)
}
