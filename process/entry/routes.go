package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/process/auth"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/outcome"
)

// access is the authorization that a route requires before its handler runs. The
// handler checks the franchisee or team of the resource.
type access uint8

const (
	public access = iota
	authenticated
	reader // all roles but callers
)

// exchange is one HTTP request with its authenticated user. It is valid until the handler returns.
type exchange struct {
	*fasthttp.RequestCtx
	user auth.Principal
	// param is the part of the path after that of the route.
	param string
}

type route struct {
	method string
	// path ends with a slash if a parameter follows.
	path   string
	access access
	serve  func(*web, *exchange)
}

var routes = []route{
	{fasthttp.MethodPost, "/v1/requests", authenticated, (*web).submit},
	{fasthttp.MethodGet, "/v1/jobs/", authenticated, (*web).lookup},
	{fasthttp.MethodDelete, "/v1/jobs/", authenticated, (*web).cancel},
	{fasthttp.MethodGet, "/v1/profiles", reader, (*web).listProfiles},
	{fasthttp.MethodGet, "/v1/profiles/", reader, (*web).showProfile},
	{fasthttp.MethodPut, "/v1/profiles/", reader, (*web).putProfile},
	{fasthttp.MethodDelete, "/v1/profiles/", reader, (*web).retireProfile},
	{fasthttp.MethodGet, "/v1/history", reader, (*web).history},
	{fasthttp.MethodGet, "/v1/teams", reader, (*web).listTeams},
	{fasthttp.MethodPut, "/v1/teams/", reader, (*web).putTeam},
	{fasthttp.MethodGet, "/v1/stops", reader, (*web).listStops},
	{fasthttp.MethodPost, "/v1/stops", reader, (*web).planStop},
	{fasthttp.MethodDelete, "/v1/stops/", reader, (*web).cancelStop},
	{fasthttp.MethodGet, "/v1/evacuations", reader, (*web).listEvacuations},
	{fasthttp.MethodPut, "/v1/evacuations/", reader, (*web).beginEvacuation},
	{fasthttp.MethodDelete, "/v1/evacuations/", reader, (*web).endEvacuation},
	{fasthttp.MethodGet, "/v1/status", reader, (*web).status},
	{fasthttp.MethodGet, "/v1/timeline", reader, (*web).timeline},
	{fasthttp.MethodGet, "/metrics", reader, (*web).metrics},
	{fasthttp.MethodGet, "/healthz", public, (*web).health},
	{fasthttp.MethodGet, "/readyz", public, (*web).readiness},
}

// handle finds the route of a request, authorizes the user and serves it.
func (w *web) handle(ctx *fasthttp.RequestCtx) {
	x := &exchange{RequestCtx: ctx}
	defer w.recoverPanic(x)
	r, err := match(string(ctx.Method()), string(ctx.Path()), x)
	if err == nil {
		err = w.authorize(r.access, x)
	}
	if err != nil {
		w.writeError(x, "", err)
		return
	}
	r.serve(w, x)
}

func match(method, path string, x *exchange) (route, error) {
	pathKnown := false
	for _, r := range routes {
		rest, ok := strings.CutPrefix(path, r.path)
		if !ok || (rest != "") != strings.HasSuffix(r.path, "/") {
			continue
		}
		pathKnown = true
		if r.method == method {
			x.param = rest
			return r, nil
		}
	}
	if pathKnown {
		return route{}, outcome.Field(outcome.InvalidField, "method", method+" is not allowed on "+path)
	}
	return route{}, outcome.Field(outcome.NotFound, "path", "no such resource")
}

func (w *web) authorize(needed access, x *exchange) error {
	if needed == public {
		return nil
	}
	user, err := w.auth.Authenticate(string(x.Request.Header.Peek("Authorization")))
	if err == nil && needed == reader && !user.MayRead() {
		err = outcome.New(outcome.Forbidden, "a caller's token has no access to operators' resources")
	}
	x.user = user
	if err != nil {
		w.logRefusal(x, err)
	}
	return err
}

// logRefusal logs which user was refused and why; it never logs a token.
func (w *web) logRefusal(x *exchange, err error) {
	peer := x.user.Name
	if peer == "" {
		peer = "unknown"
	}
	w.entry.log.Emit(event.AuthenticationRefused, "peer", peer, "address", x.RemoteAddr().String(),
		"surface", "http", "reason", outcome.From(err).Message)
}

// authorizeChange checks that the user may change resources of a team; "": those that teams share.
func (w *web) authorizeChange(x *exchange, team string) error {
	if x.user.MayOperate(team) {
		return nil
	}
	scope := "resources that all teams share"
	if team != "" {
		scope = "resources of team " + team
	}
	err := outcome.New(outcome.Forbidden, x.user.Name+" may not change "+scope)
	w.logRefusal(x, err)
	return err
}
