package worker

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// OddAnnouncements returns announcements of a service as another writer may leave them: each
// has one odd field, or is no announcement at all.
func OddAnnouncements(service string) []string {
	const (
		capacity = `"capacity":{"cpu":64000,"mem_mb":256000}`
		address  = `"addr":"127.0.0.1:80"`
	)
	common := `{"service":"` + service + `","state":"ready",`
	return []string{
		common + capacity + `,"addr":"127.0.0.1:99999","sequence":900,"born":1}`,
		common + capacity + `,` + address + `,"sequence":18446744073709551615,"born":1}`,
		common + capacity + `,` + address + `,"sequence":900,"born":9223372036854775807}`,
		common + `"capacity":{"cpu":9223372036854775807,"mem_mb":1},` + address + `,"sequence":900,"born":1}`,
		common + capacity + `,` + address + `,"sequence":900,"born":1,"x":` + strings.Repeat("[", 200_000) + `}`,
		"\x00\xff",
	}
}

// SendAnnouncement sends an announcement in the name of a worker to the registry of an agent, a
// host:port, and returns the status of the response.
func SendAnnouncement(registry, id, body string, timeout time.Duration) (status int, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + registry + "/-/instances/" + id)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
		return 0, errs.Wrap(err)
	}
	return resp.StatusCode(), nil
}
