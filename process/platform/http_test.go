package platform

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a listing whose numbers give a worker room without limit, or overflow the
// lease times that are computed from them.
func TestListingWithOddNumbersIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var body string
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	w := NewHTTPWorker("http://" + listener.Addr().String())
	for odd, accepted := range map[string]bool{
		`{"worker":"w","capacity":{"milli_cpu":64000,"memory_mb":1},"born_ms":5,"clock_ms":7,"usage_age_ms":500}`: true,
		`{"capacity":{"milli_cpu":4611686018427387904}}`:                                                          false,
		`{"capacity":{"memory_mb":-1}}`:                                                                           false,
		`{"clock_ms":9223372036854775807}`:                                                                        false,
		`{"born_ms":-1}`:                                                                                          false,
		`{"usage_age_ms":9223372036854775807}`:                                                                    false,
	} {
		body = odd
		_, err := w.Hold(t.Context(), HoldRequest{})
		require.Equal(t, accepted, err == nil, odd)
	}
}
