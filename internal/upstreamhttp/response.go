package upstreamhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/internal/statusline"
)

const (
	// maxStrayResponses is the number of responses to other requests that are
	// skipped before a connection is closed.
	maxStrayResponses = 2
	// maxInterimResponses is the number of 1xx responses that may precede a response.
	maxInterimResponses = statusline.MaxInterimResponses
)

// MismatchError reports that a connection carried only responses to other
// requests.
type MismatchError struct{ Got string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("upstreamhttp: got a response to request %q instead", e.Got)
}

// MalformedError reports bytes that are no HTTP response.
type MalformedError struct{ Err error }

// Error implements error.
func (e *MalformedError) Error() string { return "upstreamhttp: malformed response: " + e.Err.Error() }

// Unwrap returns the parser's error.
func (e *MalformedError) Unwrap() error { return e.Err }

// malformed wraps an error of the parser, and returns one of the connection or of a limit as it
// is.
func malformed(err error) error {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, respbody.ErrOverMemory, fasthttp.ErrBodyTooLarge, fasthttp.ErrTimeout} {
		if errors.Is(err, target) {
			return err
		}
	}
	if netErr := net.Error(nil); errors.As(err, &netErr) {
		return err
	}
	return &MalformedError{Err: err}
}

// read reads responses until the one to the request, and returns how many others it has
// skipped. A late response to an earlier request may come first.
func (c *conn) read(inspector Inspector, r *Request) (resp *fasthttp.Response, info ResponseInfo, strays int, err error) {
	for range maxStrayResponses + 1 {
		resp, err = c.readNext(r)
		if err != nil {
			return nil, ResponseInfo{}, strays, err
		}
		info = inspector.Inspect(&resp.Header)
		if info.RequestID == r.ID {
			c.setIdleTimeout(info.IdleTimeout)
			return resp, info, strays, nil
		}
		releaseResponse(resp)
		c.charge.Release()
		c.broken = true
		if info.RequestID == "" {
			return nil, ResponseInfo{}, strays, &MalformedError{Err: errNoRequestID}
		}
		strays++
		err = &MismatchError{Got: info.RequestID}
	}
	return nil, ResponseInfo{}, strays, err
}

// readNext reads the next response, which may be to any request, and charges for its memory.
func (c *conn) readNext(r *Request) (*fasthttp.Response, error) {
	resp := fasthttp.AcquireResponse()
	err := statusline.SkipInterim(c.br)
	if err == nil {
		err = resp.Header.Read(c.br)
	}
	if status := resp.Header.StatusCode(); err == nil && !r.NoResponseBody && status != http.StatusNoContent && status != http.StatusNotModified {
		c.charge = respbody.NewCharge(c.account())
		limit := r.MaxBodyBytes
		if limit <= 0 {
			limit = defaultMaxBodyBytes
		}
		err = respbody.Read(c.br, resp, limit, &c.charge)
	}
	if err != nil {
		releaseResponse(resp)
		c.charge.Release()
		return nil, malformed(err)
	}
	return resp, nil
}

var errNoRequestID = errors.New("response without a request ID")
