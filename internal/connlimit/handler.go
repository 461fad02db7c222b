package connlimit

import (
	"io"
	"net/http"
)

// decodeFactor is the memory of a message of another VM as a multiple of its size: what was
// read, the buffer that grows, and the decoded message.
const decodeFactor = 3

// Handler returns a handler whose requests and answers are charged to their connections. It is
// for listeners other than those of callers, whose handlers know what they hold.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		if c.IsRefused() {
			w.Header().Set("Connection", "close")
			http.Error(w, ErrNoRoom.Error(), http.StatusServiceUnavailable)
			return
		}
		held := &heldMessage{conn: c}
		defer held.release()
		if r.ContentLength == 0 {
			c.Run()
		} else {
			c.startBody(r.ContentLength)
			r.Body = &chargedBody{ReadCloser: r.Body, held: held}
		}
		h.ServeHTTP(&chargedWriter{ResponseWriter: w, held: held}, r)
	})
}

// heldMessage is what the handler of a request holds.
type heldMessage struct {
	conn  *Conn
	bytes int64
}

func (m *heldMessage) release() { m.conn.Release(m.bytes) }

// chargedBody charges for what is read.
type chargedBody struct {
	io.ReadCloser
	held *heldMessage
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if !b.held.conn.Charge(int64(decodeFactor * n)) {
			b.held.conn.Linger()
			return 0, ErrNoRoom
		}
		b.held.bytes += int64(decodeFactor * n)
	}
	if err == io.EOF {
		b.held.conn.Run()
	}
	return n, err
}

// chargedWriter charges for what is written, until the handler has returned.
type chargedWriter struct {
	http.ResponseWriter
	held *heldMessage
}

// Write implements http.ResponseWriter.
func (w *chargedWriter) Write(p []byte) (int, error) {
	w.held.conn.Hold(int64(len(p)))
	w.held.bytes += int64(len(p))
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *chargedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *chargedWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }
