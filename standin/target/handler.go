package target

import (
	"bytes"
	"context"

	"github.com/valyala/fasthttp"

	"camphorhead.example/standin/internal/serve"
)

// Headers of a request to a target.
const (
	HeaderRequestID  = "Camphorhead-Request-Id"
	HeaderFranchisee = "Camphorhead-Franchisee"
	HeaderProfile    = "Camphorhead-Profile"
)

func (t *Target) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	if !rc.IsPost() || string(rc.Path()) != "/v1/run" {
		serve.NotFound(rc)
		return
	}
	response, err := t.Run(ctx, Request{
		ID:         string(rc.Request.Header.Peek(HeaderRequestID)),
		Franchisee: string(rc.Request.Header.Peek(HeaderFranchisee)),
		Profile:    string(rc.Request.Header.Peek(HeaderProfile)),
		Body:       bytes.Clone(rc.PostBody()),
	})
	serve.Reply(rc, response, err)
}
