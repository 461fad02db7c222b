package upstreamhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"

	"github.com/valyala/fasthttp"

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
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, ErrOverMemory, fasthttp.ErrBodyTooLarge, fasthttp.ErrTimeout} {
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
		c.charge.release()
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
		c.charge = charge{memory: c.memory}
		err = c.readBody(resp, r.MaxBodyBytes)
	}
	if err != nil {
		releaseResponse(resp)
		c.charge.release()
		return nil, malformed(err)
	}
	return resp, nil
}

// readBody reads the body of a response whose head has been read.
func (c *conn) readBody(resp *fasthttp.Response, limit int) error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	length := resp.Header.ContentLength()
	switch {
	case length > limit:
		return fasthttp.ErrBodyTooLarge
	case length >= 0: // its buffer is allocated before it is read
		if !c.charge.raise(int64(length)) {
			return ErrOverMemory
		}
	default:
		c.meter.charge, c.meter.read = &c.charge, int64(c.br.Buffered())
		defer func() { c.meter.charge = nil }()
	}
	var err error
	if length == chunkedLength {
		err = c.readChunks(resp, limit)
	} else {
		err = resp.ReadBody(c.br, limit)
	}
	if c.meter.refused {
		return ErrOverMemory
	}
	return err
}

// chunkedLength is the length of a body in chunks, as fasthttp reports it.
const chunkedLength = -1

// readChunks reads a body in chunks. Its buffer grows as they arrive: fasthttp would allocate
// a chunk of the size that the upstream announces.
func (c *conn) readChunks(resp *fasthttp.Response, limit int) error {
	body := resp.SwapBody(nil)[:0]
	chunks := io.LimitReader(httputil.NewChunkedReader(c.br), int64(limit)+1)
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, max(len(body), readBufferBytes))
		}
		n, err := chunks.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return fasthttp.ErrBodyTooLarge
		case err == io.EOF:
			resp.SwapBody(body)
			return c.readTrailer(resp)
		case err != nil:
			return err
		}
	}
}

func (c *conn) readTrailer(resp *fasthttp.Response) error {
	err := resp.Header.ReadTrailer(c.br)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

var errNoRequestID = errors.New("response without a request ID")
