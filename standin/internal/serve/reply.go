package serve

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
)

// errorStatuses maps errors without a body of their own to HTTP statuses.
var errorStatuses = []struct {
	cause  error
	status int
}{
	{platform.ErrUnavailable, fasthttp.StatusServiceUnavailable},
	{platform.ErrCompacted, fasthttp.StatusGone},
}

// Decode decodes the JSON body of a request into out, or responds 400 and returns false.
func Decode(rc *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(rc.PostBody(), out); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Reply responds with the JSON of value (204 if nil) or the status of err: 409 and JSON for
// a RefusalError, 503 for ErrUnavailable, 410 for ErrCompacted, else 500. ErrUncertain
// closes the connection without a response.
func Reply(rc *fasthttp.RequestCtx, value any, err error) {
	var refusal *platform.RefusalError
	switch {
	case errs.Is(err, platform.ErrUncertain):
		Abort(rc)
	case errors.As(err, &refusal):
		ReplyStatus(rc, fasthttp.StatusConflict, refusal)
	case err != nil:
		rc.Error(err.Error(), status(err))
	case value == nil:
		rc.SetStatusCode(fasthttp.StatusNoContent)
	default:
		ReplyStatus(rc, fasthttp.StatusOK, value)
	}
}

// Abort closes the connection of a request without a response; a request that has no
// connection of a server is left as it is.
func Abort(rc *fasthttp.RequestCtx) {
	if c, ok := rc.Conn().(*conn); ok {
		_ = c.Close()
	}
}

// ReplyStatus responds with a status and the JSON of value.
func ReplyStatus(rc *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(body)
}

func status(err error) int {
	for _, s := range errorStatuses {
		if errs.Is(err, s.cause) {
			return s.status
		}
	}
	return fasthttp.StatusInternalServerError
}

// NotFound responds to a request for an unknown path with status 405, because clients
// take a 404 for a missing key or task.
func NotFound(rc *fasthttp.RequestCtx) {
	rc.Error("unknown method or path", fasthttp.StatusMethodNotAllowed)
}
