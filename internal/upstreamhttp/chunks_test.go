package upstreamhttp

import (
	"runtime"
	"testing"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// TestAnnouncedChunkTakesNoMemory guards against memory for a chunk of which an upstream sends
// next to nothing.
func TestAnnouncedChunkTakesNoMemory(t *testing.T) {
	const announced = 15 << 20
	address := answerOnce(t, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nf00000\r\nx")
	p := NewPool(address, 1, dial, plainInspector{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	expectFailure(t, do(t, p, request("a")), verdict.MayHaveRun)
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > announced/8 {
		t.Errorf("%d bytes were allocated for a chunk of one", n)
	}
}

// TestChunkedBodies checks bodies in chunks, their trailers, and the limit.
func TestChunkedBodies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"one chunk":   head + chunked("body") + "0\r\n\r\n",
		"many chunks": head + chunked("b") + chunked("od") + chunked("y") + "0\r\n\r\n",
		"trailer":     head + chunked("body") + "0\r\nEnd: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			expectBody(t, do(t, NewPool(answerOnce(t, text), 1, dial, plainInspector{}), request("a")), "body")
		})
	}
	for name, text := range map[string]string{
		"cut in a chunk":      head + "4\r\nbo",
		"cut after a chunk":   head + chunked("body"),
		"cut in the trailer":  head + chunked("body") + "0\r\nEnd:",
		"size that is no hex": head + "x\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			expectFailure(t, do(t, NewPool(answerOnce(t, text), 1, dial, plainInspector{}), request("a")), verdict.MayHaveRun)
		})
	}
	t.Run("over the limit", func(t *testing.T) {
		r := request("a")
		r.MaxBodyBytes = 3
		expectFailure(t, do(t, NewPool(answerOnce(t, head+chunked("body")+"0\r\n\r\n"), 1, dial, plainInspector{}), r), verdict.MayHaveRun)
	})
}
