package upstream

import (
	"errors"
	"net/http"
	"sync"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/statusline"
)

// Ledger bounds the memory of all upstreams' responses.
type Ledger interface {
	// AcquireResponse takes n bytes, for which it may wait. It returns false if there is no
	// room.
	AcquireResponse(n int64) bool
	// ReleaseResponse returns n bytes.
	ReleaseResponse(n int64)
}

const (
	// freeBytes is the size up to which a response isn't counted.
	freeBytes = 16 << 10
	// copies is the number of times that a response is in memory: as it was read, and as a part
	// of the query.
	copies = 2
	// unknownLength is charged for a response without a length.
	unknownLength = 1 << 20
)

// errNoMemory is the error of a response for which there is no room.
var errNoMemory = errors.New("upstream: the responses of all upstreams take too much memory")

// Hold is the memory that the responses to the attempts of one request take. It is safe for
// concurrent use. A nil Hold is granted everything.
type Hold struct {
	ledger Ledger

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewHold returns a Hold without memory; nil without a ledger.
func NewHold(l Ledger) *Hold {
	if l == nil {
		return nil
	}
	return &Hold{ledger: l}
}

// acquire takes n bytes. It returns false if there is no room, or if the request has ended.
func (h *Hold) acquire(n int64) bool {
	if h == nil || n == 0 {
		return true
	}
	if !h.ledger.AcquireResponse(n) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		h.ledger.ReleaseResponse(n)
		return false
	}
	h.bytes += n
	return true
}

// Release returns the memory. It may be called more than once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes > 0 {
		h.ledger.ReleaseResponse(h.bytes)
	}
	h.bytes, h.released = 0, true
}

// readResponse reads a response, for whose memory the call is charged before it is allocated.
func (cn *conn) readResponse(c *Call, resp *fasthttp.Response) error {
	if err := statusline.SkipInterim(cn.br); err != nil {
		return err
	}
	if err := resp.Header.Read(cn.br); err != nil {
		return err
	}
	if status := resp.StatusCode(); status == http.StatusNoContent || status == http.StatusNotModified {
		return nil
	}
	length := resp.Header.ContentLength()
	if length > maxResponseBytes {
		return fasthttp.ErrBodyTooLarge
	}
	if length < 0 {
		length = unknownLength
	}
	if length > freeBytes && !c.Hold.acquire(int64(copies*length)) {
		return errNoMemory
	}
	if err := resp.ReadBody(cn.br, maxResponseBytes); err != nil {
		return err
	}
	if resp.Header.ContentLength() == -1 { // chunked
		return resp.Header.ReadTrailer(cn.br)
	}
	return nil
}
