package leaf

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// credentialHeaders are the headers in which callers may send credentials.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie",
}

// carriesSecret reports whether a request has a credential header, or one of the
// secrets in its request line, headers or body.
func carriesSecret(ctx *fasthttp.RequestCtx, secrets []string) bool {
	for _, name := range credentialHeaders {
		if len(ctx.Request.Header.Peek(name)) > 0 {
			return true
		}
	}
	if len(secrets) == 0 {
		return false
	}
	head := ctx.Request.Header.Header()
	for _, s := range secrets {
		if bytes.Contains(head, []byte(s)) || bytes.Contains(ctx.PostBody(), []byte(s)) {
			return true
		}
	}
	return false
}
