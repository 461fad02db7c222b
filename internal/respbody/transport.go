package respbody

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxHeadBytes bounds the head of a response, interim responses included.
	maxHeadBytes = 64 << 10
	// receiveBuffer is the size of the receive buffer of a connection. Left to itself the
	// kernel lets it grow to some MB, also while nobody reads.
	receiveBuffer = 64 << 10
	// DecodeFactor is the memory of a message as a multiple of its size: the buffer into which
	// it is read, which doubles when it is full, and what it is decoded into.
	DecodeFactor = 3
)

// Transport returns an HTTP transport whose responses have bounded heads, and whose bodies are
// charged to the account, factor times their size, from when they are read until they are
// closed. A body without room fails with ErrOverMemory. It ignores proxy settings in the
// environment, as the daemons call addresses directly.
func Transport(account Account, factor int64, t *http.Transport, dialTimeout time.Duration) http.RoundTripper {
	t.DialContext = (&net.Dialer{Timeout: dialTimeout, Control: LimitReceiveBuffer}).DialContext
	t.MaxResponseHeaderBytes = maxHeadBytes
	t.DisableCompression = true
	return &transport{base: t, account: account, factor: factor}
}

type transport struct {
	base    *http.Transport
	account Account
	factor  int64
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &chargedBody{ReadCloser: resp.Body, charge: NewCharge(t.account), factor: t.factor}
	return resp, nil
}

// CloseIdleConnections implements the method that http.Client looks for.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// chargedBody charges for the bytes that were read of a body.
type chargedBody struct {
	io.ReadCloser
	charge Charge
	factor int64
	read   int64
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return 0, err
	}
	b.read += int64(n)
	if !b.charge.Resize(b.factor * b.read) {
		return 0, ErrOverMemory
	}
	return n, err
}

// Close implements io.Closer.
func (b *chargedBody) Close() error {
	b.charge.Release()
	return b.ReadCloser.Close()
}

// LimitReceiveBuffer bounds the receive buffer of a connection that is being opened. It is a
// net.Dialer's Control.
func LimitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	// Without the size the kernel chooses its own, which only costs memory.
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
}
