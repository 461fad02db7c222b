package cli

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/valyala/fasthttp"
)

// TestInspect runs commands against a fake operators' listener. In the test data,
// "answer" sets the response of the listener and "run" runs a command.
func TestInspect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var status int
	var body, path string
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		path = string(ctx.RequestURI())
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	datadriven.RunTest(t, "testdata/inspect", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "answer" {
			d.ScanArgs(t, "status", &status)
			body = d.Input
			return ""
		}
		var out, errOut bytes.Buffer
		args := append([]string{"ryecourse"}, strings.Fields(d.Input)...)
		path = "-"
		code := Run(context.Background(), append(args, "--operator", ln.Addr().String()), &out, &errOut)
		printed := strings.ReplaceAll(out.String()+errOut.String(), ln.Addr().String(), "ADDRESS")
		return fmt.Sprintf("exit %d, requested %s\n%s\n", code, path, trimLines(printed))
	})
}

// trimLines removes trailing spaces, because editors remove them from the test data.
func trimLines(s string) string {
	lines := strings.Split(strings.TrimRight(s, "\n"), "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return strings.Join(lines, "\n")
}
