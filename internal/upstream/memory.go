package upstream

import (
	"net/http"
	"sync"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/internal/statusline"
)

// Hold is the memory that the responses to the attempts of one request take, until the request
// has been answered. It is safe for concurrent use.
type Hold struct {
	account respbody.Account

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewHold returns a Hold without memory; nil without an account.
func NewHold(account respbody.Account) *Hold {
	if account == nil {
		return nil
	}
	return &Hold{account: account}
}

// AcquireResponse implements respbody.Account. It returns false, too, if the request has ended.
func (h *Hold) AcquireResponse(n int64) bool {
	if !h.account.AcquireResponse(n) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		h.account.ReleaseResponse(n)
		return false
	}
	h.bytes += n
	return true
}

// ReleaseResponse implements respbody.Account.
func (h *Hold) ReleaseResponse(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return // all has been returned
	}
	h.bytes -= n
	h.account.ReleaseResponse(n)
}

// Release returns the memory. It may be called more than once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes > 0 {
		h.account.ReleaseResponse(h.bytes)
	}
	h.bytes, h.released = 0, true
}

// newCharge returns the charge of the response to the call.
func (c *Call) newCharge() respbody.Charge {
	if c.Hold == nil {
		return respbody.NewCharge(nil)
	}
	return respbody.NewCharge(c.Hold)
}

// readResponse reads a response and charges the call for its memory.
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
	return respbody.Read(cn.br, resp, maxResponseBytes, &c.charge)
}

// takeBody returns a body that the query may keep. A long one is taken out of the response, as
// it is charged once.
func takeBody(resp *fasthttp.Response) []byte {
	if len(resp.Body()) > respbody.FreeBytes {
		return resp.SwapBody(nil)
	}
	return append([]byte(nil), resp.Body()...)
}
