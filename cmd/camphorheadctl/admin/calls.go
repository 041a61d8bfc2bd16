package admin

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/version/profile"
)

// Edit holds the options of a change.
type Edit struct {
	// BasedOn is the version that the change replaces, 0 to create. The entry refuses
	// the change if another version is current.
	BasedOn uint64
	DryRun  bool // check the change without making it
}

func (e Edit) query() url.Values {
	q := url.Values{}
	q.Set("version", strconv.FormatUint(e.BasedOn, 10))
	if e.DryRun {
		q.Set("dry_run", "true")
	}
	return q
}

// Profiles returns the profiles in force, ordered by name.
func (c *Client) Profiles(ctx context.Context) ([]profile.Profile, error) {
	var list []profile.Profile
	_, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/profiles", result: &list})
	return list, err
}

// Profile returns one profile in force.
func (c *Client) Profile(ctx context.Context, name string) (profile.Profile, error) {
	var p profile.Profile
	_, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/profiles/" + url.PathEscape(name), result: &p})
	return p, err
}

// PutProfile creates or changes a profile.
func (c *Client) PutProfile(ctx context.Context, p profile.Profile, e Edit) (Change, error) {
	var change Change
	_, err := c.do(ctx, call{
		method: fasthttp.MethodPut, path: "/v1/profiles/" + url.PathEscape(p.Name), query: e.query(), body: p, result: &change,
	})
	return change, err
}

// RetireProfile makes entries refuse new requests for a profile; accepted jobs continue.
func (c *Client) RetireProfile(ctx context.Context, name string, e Edit) (Change, error) {
	var change Change
	_, err := c.do(ctx, call{
		method: fasthttp.MethodDelete, path: "/v1/profiles/" + url.PathEscape(name), query: e.query(), result: &change,
	})
	return change, err
}

// History returns the latest changes of a profile that the entry has seen, newest last;
// an empty name selects all changes of the configuration.
func (c *Client) History(ctx context.Context, name string) ([]profile.Delta, error) {
	var list []profile.Delta
	q := url.Values{}
	if name != "" {
		q.Set("profile", name)
	}
	_, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/history", query: q, result: &list})
	return list, err
}

// Teams returns the teams, ordered by name.
func (c *Client) Teams(ctx context.Context) ([]profile.Team, error) {
	var list []profile.Team
	_, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/teams", result: &list})
	return list, err
}

// PutTeam creates or changes a team.
func (c *Client) PutTeam(ctx context.Context, t profile.Team, e Edit) (Change, error) {
	var change Change
	_, err := c.do(ctx, call{
		method: fasthttp.MethodPut, path: "/v1/teams/" + url.PathEscape(t.Name), query: e.query(), body: t, result: &change,
	})
	return change, err
}

// Stops returns the planned stops and the entry's time, in whole seconds.
func (c *Client) Stops(ctx context.Context) ([]Stop, time.Time, error) {
	var list []Stop
	at, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/stops", result: &list})
	return list, at, err
}

// PlanStop plans a stop; the id is in Delta.Stop of the result.
func (c *Client) PlanStop(ctx context.Context, s profile.Stop, dryRun bool) (Change, error) {
	var change Change
	_, err := c.do(ctx, call{
		method: fasthttp.MethodPost, path: "/v1/stops", query: Edit{DryRun: dryRun}.query(), body: s, result: &change,
	})
	return change, err
}

// CancelStop cancels the planned stop with the given id.
func (c *Client) CancelStop(ctx context.Context, id string) (Change, error) {
	var change Change
	_, err := c.do(ctx, call{method: fasthttp.MethodDelete, path: "/v1/stops/" + url.PathEscape(id), result: &change})
	return change, err
}

// Evacuations returns the failure domains that operators have emptied.
func (c *Client) Evacuations(ctx context.Context) ([]Evacuation, error) {
	var list []Evacuation
	_, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/evacuations", result: &list})
	return list, err
}

// BeginEvacuation empties a failure domain. InForce of the result is false if the leader has not
// confirmed it in time.
func (c *Client) BeginEvacuation(ctx context.Context, domain string) (Evacuation, error) {
	return c.changeEvacuation(ctx, fasthttp.MethodPut, domain)
}

// EndEvacuation takes a failure domain back. InForce of the result is true if the leader has not
// confirmed it in time.
func (c *Client) EndEvacuation(ctx context.Context, domain string) (Evacuation, error) {
	return c.changeEvacuation(ctx, fasthttp.MethodDelete, domain)
}

func (c *Client) changeEvacuation(ctx context.Context, method, domain string) (Evacuation, error) {
	var e Evacuation
	_, err := c.do(ctx, call{method: method, path: "/v1/evacuations/" + url.PathEscape(domain), result: &e})
	return e, err
}

// Status returns the state of the deployment as seen by the entry.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	_, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/status", result: &s})
	return s, err
}

// Timeline returns the merged events of all processes.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (Timeline, error) {
	q := url.Values{}
	for name, value := range map[string]string{
		"request": f.Request, "job": f.Job, "agent": f.Agent, "franchisee": f.Franchisee, "name": f.Name,
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	for name, value := range map[string]int64{"since_ms": f.SinceMs, "until_ms": f.UntilMs, "limit": int64(f.Limit)} {
		if value > 0 {
			q.Set(name, strconv.FormatInt(value, 10))
		}
	}
	var t Timeline
	_, err := c.do(ctx, call{method: fasthttp.MethodGet, path: "/v1/timeline", query: q, result: &t})
	return t, err
}
