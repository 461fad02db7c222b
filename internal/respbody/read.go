package respbody

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

const (
	// chunkedLength is the length of a body in chunks, as fasthttp reports it. That of a body
	// that ends with its connection is lower.
	chunkedLength = -1
	// minBufferBytes is the size of the first buffer of a body without a length.
	minBufferBytes = 4 << 10
	// growthFactor is the growth of a full buffer.
	growthFactor = 2
)

// Read reads the body, and the trailer, of a response whose head has been read from br. A body
// of more than limit bytes fails with fasthttp.ErrBodyTooLarge, one without room with
// ErrOverMemory. The charge is that of the body, which resp holds then; after an error it is
// released.
func Read(br *bufio.Reader, resp *fasthttp.Response, limit int, charge *Charge) error {
	body, err := readBody(br, &resp.Header, resp.SwapBody(nil)[:0], limit, charge)
	if err == nil && resp.Header.ContentLength() == chunkedLength {
		err = readTrailer(br, &resp.Header)
	}
	if err != nil {
		charge.Release()
		return err
	}
	if resp.Header.ContentLength() < chunkedLength {
		resp.Header.SetContentLength(len(body))
	}
	resp.SwapBody(body)
	return nil
}

func readBody(br *bufio.Reader, h *fasthttp.ResponseHeader, buffer []byte, limit int, charge *Charge) ([]byte, error) {
	if cap(buffer) > FreeBytes { // isn't charged yet
		buffer = nil
	}
	length := h.ContentLength()
	switch {
	case length > limit:
		return nil, fasthttp.ErrBodyTooLarge
	case length < chunkedLength:
		return readUntilEOF(br, buffer, limit, charge)
	case length == chunkedLength:
		return readUntilEOF(httputil.NewChunkedReader(br), buffer, limit, charge)
	case length > cap(buffer):
		if !charge.Resize(int64(length)) {
			return nil, ErrOverMemory
		}
		buffer = make([]byte, length)
	}
	buffer = buffer[:length]
	_, err := io.ReadFull(br, buffer)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return buffer, err
}

// readUntilEOF reads all of r into a buffer that grows as bytes arrive.
func readUntilEOF(r io.Reader, buffer []byte, limit int, charge *Charge) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = grow(buffer, limit, charge); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > limit:
			return nil, fasthttp.ErrBodyTooLarge
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a larger copy of a full buffer. Both are charged until it is made.
func grow(buffer []byte, limit int, charge *Charge) ([]byte, error) {
	size := min(max(growthFactor*cap(buffer), minBufferBytes), limit+1)
	if !charge.Resize(int64(cap(buffer) + size)) {
		return nil, ErrOverMemory
	}
	larger := append(make([]byte, 0, size), buffer...)
	charge.Resize(int64(size)) // lower, which can't fail
	return larger, nil
}

func readTrailer(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	err := h.ReadTrailer(br)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
