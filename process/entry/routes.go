package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/process/auth"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/outcome"
)

// access is what a route demands before its handler runs. Handlers check the
// franchisee or team of what they act on.
type access uint8

const (
	open access = iota
	authenticated
	reads
)

// exchange is one HTTP request with its authenticated user.
type exchange struct {
	*fasthttp.RequestCtx
	user auth.Principal
	// param is the rest of the path behind the route.
	param string
}

type route struct {
	method string
	// path ends with a slash where a parameter follows.
	path   string
	access access
	serve  func(*web, *exchange)
}

var routes = []route{
	{fasthttp.MethodPost, "/v1/requests", authenticated, (*web).submit},
	{fasthttp.MethodGet, "/v1/jobs/", authenticated, (*web).lookup},
	{fasthttp.MethodDelete, "/v1/jobs/", authenticated, (*web).cancel},
	{fasthttp.MethodGet, "/v1/profiles", reads, (*web).listProfiles},
	{fasthttp.MethodGet, "/v1/profiles/", reads, (*web).showProfile},
	{fasthttp.MethodPut, "/v1/profiles/", reads, (*web).putProfile},
	{fasthttp.MethodDelete, "/v1/profiles/", reads, (*web).retireProfile},
	{fasthttp.MethodGet, "/v1/history", reads, (*web).history},
	{fasthttp.MethodGet, "/v1/teams", reads, (*web).listTeams},
	{fasthttp.MethodPut, "/v1/teams/", reads, (*web).putTeam},
	{fasthttp.MethodGet, "/v1/stops", reads, (*web).listStops},
	{fasthttp.MethodPost, "/v1/stops", reads, (*web).planStop},
	{fasthttp.MethodDelete, "/v1/stops/", reads, (*web).cancelStop},
	{fasthttp.MethodGet, "/v1/status", reads, (*web).status},
	{fasthttp.MethodGet, "/v1/timeline", reads, (*web).timeline},
	{fasthttp.MethodGet, "/metrics", reads, (*web).metrics},
	{fasthttp.MethodGet, "/healthz", open, (*web).health},
	{fasthttp.MethodGet, "/readyz", open, (*web).readiness},
}

// handle finds the route of a request, checks its user and serves it.
func (w *web) handle(ctx *fasthttp.RequestCtx) {
	x := &exchange{RequestCtx: ctx}
	defer w.recoverPanic(x)
	r, err := match(string(ctx.Method()), string(ctx.Path()), x)
	if err == nil {
		err = w.authorize(r.access, x)
	}
	if err != nil {
		w.refuse(x, "", err)
		return
	}
	r.serve(w, x)
}

func match(method, path string, x *exchange) (route, error) {
	known := false
	for _, r := range routes {
		rest, ok := strings.CutPrefix(path, r.path)
		if !ok || (rest != "") != strings.HasSuffix(r.path, "/") {
			continue
		}
		known = true
		if r.method == method {
			x.param = rest
			return r, nil
		}
	}
	if known {
		return route{}, outcome.Field(outcome.InvalidField, "method", method+" is not served on "+path)
	}
	return route{}, outcome.Field(outcome.NotFound, "path", "no such resource")
}

func (w *web) authorize(needed access, x *exchange) error {
	if needed == open {
		return nil
	}
	user, err := w.auth.Authenticate(string(x.Request.Header.Peek("Authorization")))
	if err == nil && needed == reads && !user.MayRead() {
		err = outcome.New(outcome.Forbidden, "a caller's token has no access to operators' resources")
	}
	x.user = user
	if err != nil {
		w.logRefusal(x, err)
	}
	return err
}

// logRefusal notes who was refused and why; it never logs a token.
func (w *web) logRefusal(x *exchange, err error) {
	peer := x.user.Name
	if peer == "" {
		peer = "unknown"
	}
	w.entry.log.Emit(event.AuthenticationRefused, "peer", peer, "address", x.RemoteAddr().String(),
		"surface", "http", "reason", outcome.From(err).Message)
}

// operate checks that the user may change what belongs to a team.
func (w *web) operate(x *exchange, team string) error {
	if x.user.MayOperate(team) {
		return nil
	}
	what := "what all teams share"
	if team != "" {
		what = "what belongs to team " + team
	}
	err := outcome.New(outcome.Forbidden, x.user.Name+" may not change "+what)
	w.logRefusal(x, err)
	return err
}
