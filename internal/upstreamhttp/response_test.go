package upstreamhttp

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// answerOnce starts an upstream that sends bytes for the first request of each connection
// and closes it.
func answerOnce(t *testing.T, text string) string {
	t.Helper()
	return startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		if _, _, err := readRequest(br); err == nil {
			io.WriteString(nc, text)
		}
	})
}

// TestBytesThatAreNoResponse guards against bytes in place of a response that pass for one,
// because the parser accepts their status line or because nothing in them names a request.
func TestBytesThatAreNoResponse(t *testing.T) {
	const headers = "Id: a\r\nContent-Length: 1\r\n\r\nx"
	for name, text := range map[string]string{
		"status 000":                "HTTP/1.1 000 \r\n" + headers,
		"status below 100":          "HTTP/1.1 099 Odd\r\n" + headers,
		"status above 599":          "HTTP/1.1 600 Odd\r\n" + headers,
		"status of four digits":     "HTTP/1.1 2000 OK\r\n" + headers,
		"status with a sign":        "HTTP/1.1 +20 OK\r\n" + headers,
		"no status":                 "HTTP/1.1 \r\n" + headers,
		"another protocol":          "HTTX/1.1 200 OK\r\n" + headers,
		"another version":           "HTTP/2.0 200 OK\r\n" + headers,
		"switch of protocols":       "HTTP/1.1 101 Switching Protocols\r\n" + headers,
		"interim response, then 0":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n" + headers,
		"interim response only":     "HTTP/1.1 102 Processing\r\n\r\n",
		"many interim responses":    strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimResponses+1) + response("a", "x"),
		"status line only":          "HTTP/1.1 200 OK\r\n\r\nqzx qzx qzx",
		"no ID":                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"rejection without an ID":   "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected without an ID": "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
		"two lengths":               "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"odd length":                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1x\r\n\r\nx",
		"negative length":           "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: -1\r\n\r\nx",
		"TLS":                       "\x16\x03\x01\x00\x05\x07\xffqzx\r\n\r\n",
		"blank lines":               "\r\n\r\n\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(answerOnce(t, text), 1, dial, plainInspector{})
			expectFailure(t, do(t, p, request("a")), verdict.MayHaveRun)
			if open, _, _ := p.Stats(); open != 0 {
				t.Errorf("%d connections are open", open)
			}
		})
	}
}

// TestInterimResponsesAreSkipped checks that stricter status lines leave legal ones.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for name, text := range map[string]string{
		"continue":       "HTTP/1.1 100 Continue\r\n\r\n" + response("a", "x"),
		"early hints":    "HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n" + response("a", "x"),
		"no reason":      "HTTP/1.1 200\r\nId: a\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\nId: a\r\n\r\nx",
		"blank line":     "\r\n" + response("a", "x"),
		"other response": response("earlier", "y") + response("a", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			expectBody(t, do(t, NewPool(answerOnce(t, text), 1, dial, plainInspector{}), request("a")), "x")
		})
	}
}
