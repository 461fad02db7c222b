package upstreamhttp

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Liveness is whether an instance runs.
type Liveness uint8

// The results of CheckLiveness.
const (
	// Unknown means that the instance neither accepted nor refused a connection.
	Unknown Liveness = iota
	// Alive means that the instance holds or accepts connections.
	Alive
	// Ended means that nothing accepts connections at the instance's address.
	Ended
)

// String returns the name used in logs.
func (l Liveness) String() string { return [...]string{"unknown", "alive", "ended"}[l] }

// ConnectionLost reports whether the upstream closed or reset the connection while it
// may have been running the request.
func (r *Result) ConnectionLost() bool {
	return r.Verdict == verdict.MayHaveRun && r.ConnectionClosed()
}

// ConnectionClosed reports whether the connection ended without a response.
func (r *Result) ConnectionClosed() bool {
	if r.Response != nil {
		return false
	}
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(r.Err, target) {
			return true
		}
	}
	return false
}

// CheckLiveness finds out whether the instance runs: from an idle connection, which
// would be closed if it had ended, or by opening one, which is then kept for use.
func (p *Pool) CheckLiveness(ctx context.Context) Liveness {
	for {
		c, wait, err := p.reserve(nil, nil)
		switch {
		case err != nil:
			return Unknown
		case wait != nil:
			p.cancelWait(wait)
			return Unknown
		case c == nil:
			return p.dialLiveness(ctx)
		case c.usable(time.Now()):
			p.put(c)
			return Alive
		}
		p.discard(c)
	}
}

func (p *Pool) dialLiveness(ctx context.Context) Liveness {
	c, err := p.openConn(ctx)
	switch {
	case err == nil:
		p.put(c)
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED): // one that is accepted and then reset isn't
		return Ended
	}
	return Unknown
}
