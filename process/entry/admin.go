package entry

import (
	"context"
	"encoding/json"
	"net/url"
	"sort"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/connection/api"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/version/profile"
)

func (w *web) listProfiles(x *exchange) {
	doc := w.entry.config.Document()
	list := make([]profile.Profile, 0, len(doc.Profiles))
	for _, name := range doc.ProfileNames() {
		list = append(list, doc.Profiles[name])
	}
	w.writeJSON(x, fasthttp.StatusOK, list)
}

func (w *web) showProfile(x *exchange) {
	p, ok := w.entry.config.Document().Profiles[nameParam(x)]
	if !ok {
		w.writeError(x, "", outcome.Field(outcome.NotFound, "name", "no profile "+nameParam(x)))
		return
	}
	w.writeJSON(x, fasthttp.StatusOK, p)
}

// putProfile creates or changes a profile. The query parameter version is the
// version of the profile that the change is based on; 0: it must not exist yet.
func (w *web) putProfile(x *exchange) {
	var p profile.Profile
	if err := json.Unmarshal(x.PostBody(), &p); err != nil {
		w.writeError(x, "", outcome.Field(outcome.InvalidField, "body", err.Error()))
		return
	}
	p.Name = nameParam(x)
	if err := p.Validate(); err != nil {
		w.writeError(x, "", err)
		return
	}
	if err := w.authorizeProfileChange(x, p); err != nil {
		w.writeError(x, "", err)
		return
	}
	w.applyChange(x, func(doc *profile.Document) (profile.Delta, error) { return doc.ChangeProfile(p, baseVersion(x)) })
}

// authorizeProfileChange checks the user's rights in both the current and the new team of a profile.
func (w *web) authorizeProfileChange(x *exchange, p profile.Profile) error {
	if current, ok := w.entry.config.Document().Profiles[p.Name]; ok {
		if err := w.authorizeChange(x, current.Team); err != nil {
			return err
		}
	}
	return w.authorizeChange(x, p.Team)
}

func (w *web) retireProfile(x *exchange) {
	p, ok := w.entry.config.Document().Profiles[nameParam(x)]
	if !ok {
		w.writeError(x, "", outcome.Field(outcome.NotFound, "name", "no profile "+nameParam(x)))
		return
	}
	if err := w.authorizeChange(x, p.Team); err != nil {
		w.writeError(x, "", err)
		return
	}
	w.applyChange(x, func(doc *profile.Document) (profile.Delta, error) {
		retired := doc.Profiles[p.Name]
		retired.Retired = true
		return doc.ChangeProfile(retired, baseVersion(x))
	})
}

func (w *web) listTeams(x *exchange) {
	doc := w.entry.config.Document()
	list := make([]profile.Team, 0, len(doc.Teams))
	for _, t := range doc.Teams {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	w.writeJSON(x, fasthttp.StatusOK, list)
}

func (w *web) putTeam(x *exchange) {
	var t profile.Team
	if err := json.Unmarshal(x.PostBody(), &t); err != nil {
		w.writeError(x, "", outcome.Field(outcome.InvalidField, "body", err.Error()))
		return
	}
	t.Name = nameParam(x)
	err := t.Validate()
	if err == nil {
		err = w.authorizeChange(x, "")
	}
	if err != nil {
		w.writeError(x, "", err)
		return
	}
	w.applyChange(x, func(doc *profile.Document) (profile.Delta, error) { return doc.ChangeTeam(t, baseVersion(x)) })
}

func (w *web) listStops(x *exchange) {
	doc := w.entry.config.Document()
	agents := w.entry.fleet.Agents()
	list := make([]api.Stop, 0, len(doc.Stops))
	for _, s := range doc.Stops {
		list = append(list, stopProgress(s, agents, w.entry.Members()))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].PlacedMs < list[j].PlacedMs })
	w.writeJSON(x, fasthttp.StatusOK, list)
}

// stopProgress counts what a planned stop covers and what still runs there.
func stopProgress(s profile.Stop, agents []message.Summary, entries []message.EntryInfo) api.Stop {
	b := api.Stop{Stop: s}
	for _, a := range agents {
		if !s.Covers(profile.ScopeWorker, a.Agent, a.Location.Domain) && !s.Covers(profile.ScopeTarget, a.Agent, a.Location.Domain) {
			continue
		}
		b.Covered++
		if a.ConfigVersion >= s.Version {
			b.Draining++
		}
		b.Tasks += a.Tasks
		for _, l := range a.Services {
			b.Busy += l.Busy + l.Queued
		}
	}
	// A covered entry leaves the list of entries as soon as it hands over its term.
	for _, e := range entries {
		if s.Covers(profile.ScopeEntry, e.ID, e.Location.Domain) {
			b.Covered++
		}
	}
	empty := b.Busy == 0 && (b.Tasks == 0 || s.Scope == profile.ScopeTarget)
	b.Complete = b.Draining == b.Covered && empty && (b.Covered > 0 || s.Scope == profile.ScopeEntry)
	return b
}

func (w *web) planStop(x *exchange) {
	var s profile.Stop
	if err := json.Unmarshal(x.PostBody(), &s); err != nil {
		w.writeError(x, "", outcome.Field(outcome.InvalidField, "body", err.Error()))
		return
	}
	s.ID, s.PlacedMs = "stop-"+uuid.NewString()[:8], w.entry.nowMs()
	err := s.Validate()
	if err == nil {
		err = w.authorizeChange(x, "")
	}
	if err != nil {
		w.writeError(x, "", err)
		return
	}
	w.applyChange(x, func(doc *profile.Document) (profile.Delta, error) { return doc.PlanStop(s) })
}

func (w *web) cancelStop(x *exchange) {
	if err := w.authorizeChange(x, ""); err != nil {
		w.writeError(x, "", err)
		return
	}
	w.applyChange(x, func(doc *profile.Document) (profile.Delta, error) { return doc.CancelStop(x.param) })
}

// applyChange makes a configuration change, or only builds it for a dry run, and responds with it.
func (w *web) applyChange(x *exchange, build func(*profile.Document) (profile.Delta, error)) {
	if x.QueryArgs().GetBool("dry_run") {
		doc := w.entry.config.Document()
		delta, err := build(doc)
		if err != nil {
			w.writeError(x, "", err)
			return
		}
		w.writeJSON(x, fasthttp.StatusOK, api.Change{Version: doc.Version, DryRun: true, Delta: delta})
		return
	}
	ctx, cancel := context.WithTimeout(w.entry.runCtx, operationTimeout)
	defer cancel()
	delta, err := w.entry.changeConfig(ctx, x.user.Name, build)
	if err != nil {
		w.logConflict(x, err)
		w.writeError(x, "", err)
		return
	}
	w.writeJSON(x, fasthttp.StatusOK, api.Change{Version: delta.Version, Delta: delta})
}

func (w *web) logConflict(x *exchange, err error) {
	failure := outcome.From(err)
	if failure.Kind != outcome.Conflict {
		return
	}
	w.entry.log.Emit(event.ConfigurationConflict, "subject", nameParam(x), "based_on_version", baseVersion(x),
		"version", w.entry.ConfigVersion(), "operator", x.user.Name)
}

// history lists the latest changes that this process has put in force, oldest first.
func (w *web) history(x *exchange) {
	deltas := w.entry.config.Recent()
	name := string(x.QueryArgs().Peek("profile"))
	list := make([]profile.Delta, 0, len(deltas))
	for _, d := range deltas {
		if name == "" || (d.Profile != nil && d.Profile.Name == name) {
			list = append(list, d)
		}
	}
	w.writeJSON(x, fasthttp.StatusOK, list)
}

func (w *web) status(x *exchange) {
	e := w.entry
	sent, received := e.net.Traffic().Total()
	leads, term := e.node.Leads()
	body := api.Status{
		Entry: e.cfg.Process.ID, Region: e.cfg.Process.Region, ConfigVersion: e.ConfigVersion(), ConfigAgeMs: -1,
		Leads: leads, Term: term, Leader: e.node.Leader().Address, Serving: e.node.LeaderReady(),
		StoreDown: e.storeDownSince.Load() != 0, WaitingJobs: e.node.Waiting(),
		Entries: e.Members(), FrameBytesSent: sent, FrameBytesReceived: received,
	}
	if age, ok := e.config.Age(); ok {
		body.ConfigAgeMs = age.Milliseconds()
	}
	body.LowestConfigVersion = body.ConfigVersion
	for _, s := range e.fleet.Agents() {
		body.Agents = append(body.Agents, agentStatus(s))
		body.LowestConfigVersion = min(body.LowestConfigVersion, s.ConfigVersion)
	}
	sort.Slice(body.Agents, func(i, j int) bool { return body.Agents[i].Agent < body.Agents[j].Agent })
	w.writeJSON(x, fasthttp.StatusOK, body)
}

func agentStatus(s message.Summary) api.Agent {
	return api.Agent{
		Agent: s.Agent, Region: s.Location.Region, FailureDomain: s.Location.Domain, Rack: s.Location.Rack,
		Capacity: s.Capacity, Free: s.Free, Tasks: s.Tasks, Draining: s.Draining,
		ConfigVersion: s.ConfigVersion, Services: s.Services,
	}
}

func nameParam(x *exchange) string {
	name, err := url.PathUnescape(x.param)
	if err != nil {
		return x.param
	}
	return name
}

func baseVersion(x *exchange) uint64 {
	return uint64(x.QueryArgs().GetUintOrZero("version"))
}
