// Package statusline reads the status lines of upstreams' responses more strictly than the HTTP
// library, which takes each number of three digits for a status code and reports 000 as 200.
// Both stacks use it.
package statusline

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"
)

const (
	// MaxInterimResponses is the number of 1xx responses that may precede a response.
	MaxInterimResponses = 5
	// maxBlankLines is the number of empty lines that may precede a status line.
	maxBlankLines = 2
)

// SkipInterim reads up to the status line of the next final response, which it leaves unread. It
// returns an error if that is no status line of HTTP/1, or if its status is none.
func SkipInterim(br *bufio.Reader) error {
	for range MaxInterimResponses + 1 {
		status, err := peekStatus(br)
		if err != nil || status >= http.StatusOK {
			return err
		}
		if status == http.StatusSwitchingProtocols { // not asked for
			return statusLineError(br)
		}
		var h fasthttp.ResponseHeader
		if err := h.Read(br); err != nil {
			return err
		}
	}
	return errTooManyInterim
}

var errTooManyInterim = errors.New("too many interim responses")

// statusLineStart is the form of a status line up to the character after the status code.
const statusLineStart = "HTTP/1.x 200 "

// peekStatus checks the next status line and returns its status code, without reading it.
// fasthttp takes each number of three digits for a status code, and reports 000 as 200.
func peekStatus(br *bufio.Reader) (int, error) {
	for range maxBlankLines {
		if b, err := br.Peek(2); err == nil && string(b) == "\r\n" {
			br.Discard(2) // can't fail after Peek
		}
	}
	line, err := br.Peek(len(statusLineStart))
	switch {
	case err == io.EOF && len(line) > 0:
		return 0, io.ErrUnexpectedEOF
	case err != nil:
		return 0, err
	}
	version, code, end := line[:9], line[9:12], line[12]
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || status < 100 || status > 599 || end != ' ' && end != '\r' && end != '\n' ||
		!bytes.Equal(version, []byte("HTTP/1.1 ")) && !bytes.Equal(version, []byte("HTTP/1.0 ")) {
		return 0, statusLineError(br)
	}
	return int(status), nil
}

// maxQuotedBytes bounds what an error quotes of a malformed response.
const maxQuotedBytes = 64

// statusLineError returns an error that quotes the next line.
func statusLineError(br *bufio.Reader) error {
	b, _ := br.Peek(min(br.Buffered(), maxQuotedBytes)) // buffered already
	line, _, _ := bytes.Cut(b, []byte{'\n'})
	return fmt.Errorf("status line %q", line)
}
