package upstream

import (
	"fmt"
	"io"
	"testing"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// answerWith writes a response that is complete but for its status line.
func answerWith(t *testing.T, w io.Writer, req *fasthttp.Request, statusLine string) {
	t.Helper()
	text := statusLine + "\r\n"
	for _, name := range []string{headerAttempt, headerService, headerShard} {
		text += fmt.Sprintf("%s: %s\r\n", name, req.Header.Peek(name))
	}
	text += headerSnapshot + ": s1\r\n" + headerSnapshotShards + ": 4\r\nContent-Length: 2\r\n\r\n{}"
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// TestStatusThatIsNone guards against a failed upstream's bytes that pass for an answer, as the
// parser takes status 000 for 200.
func TestStatusThatIsNone(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/2.0 200 OK",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 ",
	} {
		t.Run(line, func(t *testing.T) {
			f, s := newFake(t), make(sink, 4)
			p := newPool(t, f.addr(), 1)
			p.Start(newCall(f.addr(), 1, s))
			c := <-f.conns
			answerWith(t, c, receive(t, c), line)
			expectResult(t, <-s, scatter.OutcomeConnectionLost, verdict.MayHaveRun)
		})
	}
	for _, line := range []string{"HTTP/1.1 200", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK"} {
		t.Run(line, func(t *testing.T) {
			f, s := newFake(t), make(sink, 4)
			p := newPool(t, f.addr(), 1)
			p.Start(newCall(f.addr(), 1, s))
			c := <-f.conns
			answerWith(t, c, receive(t, c), line)
			expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
		})
	}
}
