package leaf

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// credentialHeaders are the headers in which callers carry keys.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie",
}

// carriesSecret tells whether a request has a header for credentials, or one
// of the secrets anywhere in its head or body.
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
