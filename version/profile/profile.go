// Package profile defines the configuration that operators write: profiles,
// teams, services and planned stops, as one versioned document with deltas.
//
// Documents are immutable: Document.Apply returns the next one, so a reader has a
// consistent view for as long as it keeps the pointer.
package profile

import (
	"fmt"
	"math"
	"regexp"
	"sort"
	"strings"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	MaxDeadlineMs = 600_000 // largest DeadlineMs of a profile: 10 minutes
	MaxWeight     = 1000    // largest weight in fair queueing

	maxGraceMs = 24 * 3600 * 1000 // longest grace period of a planned stop: 1 day
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Profile specifies how requests that name it are run.
type Profile struct {
	Name string   `msgpack:"n" json:"name" toml:"name"`
	Kind job.Kind `msgpack:"k" json:"kind" toml:"kind"`
	// Team is the team whose quota the profile's batch work uses; empty: none.
	Team string `msgpack:"t,omitempty" json:"team" toml:"team"`
	// Service runs the work; batch profiles other than pipelines have none.
	Service string `msgpack:"s,omitempty" json:"service" toml:"service"`
	// DeadlineMs is the default and upper bound of a request's deadline.
	DeadlineMs int64 `msgpack:"d" json:"deadline_ms" toml:"deadline_ms"`
	// Resources is the declared need of one task, an initial estimate.
	Resources resources.Resources `msgpack:"r" json:"resources" toml:"resources"`
	// Weight is that of each franchisee in fair queueing under this profile.
	Weight uint16 `msgpack:"w,omitempty" json:"weight" toml:"weight"`
	// Urgent is set if the work may preempt checkpointed batch tasks.
	Urgent bool `msgpack:"u,omitempty" json:"urgent" toml:"urgent"`
	// HedgePercent is the share of idempotent checks that may be sent twice; 0: none.
	HedgePercent uint8  `msgpack:"h,omitempty" json:"hedge_percent" toml:"hedge_percent"`
	MaxEvictions uint32 `msgpack:"e,omitempty" json:"max_evictions" toml:"max_evictions"` // of one job
	Retired      bool   `msgpack:"x,omitempty" json:"retired" toml:"retired"`             // accepts no new requests
	// Priority orders waiting tasks; lower values come first.
	Priority int `msgpack:"pr,omitempty" json:"priority" toml:"priority"`
	// MaxAttempts is how many runs of a task may fail before its job fails; 0: no limit.
	MaxAttempts int `msgpack:"ma,omitempty" json:"max_attempts" toml:"max_attempts"`
	// The latency objective of a job is ObjectiveStretch times the estimated time of
	// its longest chain of steps, plus ObjectiveMs.
	ObjectiveMs      int64   `msgpack:"om,omitempty" json:"objective_ms" toml:"objective_ms"`
	ObjectiveStretch float64 `msgpack:"os,omitempty" json:"objective_stretch" toml:"objective_stretch"`
	// Host and Prefix select the profile by the URL of a call; see Document.Route.
	Host   string `msgpack:"hh,omitempty" json:"host" toml:"host"`
	Prefix string `msgpack:"hp,omitempty" json:"prefix" toml:"prefix"`
	// Advice is set if a policy service selects the workers that may run a step.
	Advice  *Advice `msgpack:"ad,omitempty" json:"advice" toml:"advice"`
	Version uint64  `msgpack:"v" json:"version" toml:"-"` // configuration version of the last change
}

// Advice describes the timing of a profile's policy service.
type Advice struct {
	DecideMs int64 `msgpack:"d" json:"decide_ms" toml:"decide_ms"` // fixed part of the response time
	EachMs   int64 `msgpack:"e" json:"each_ms" toml:"each_ms"`     // response time for each worker named in a request
	ValidMs  int64 `msgpack:"v" json:"valid_ms" toml:"valid_ms"`   // how long a ticket may be used
}

// Validate returns an outcome.InvalidField for the first invalid field.
func (p Profile) Validate() error { return first(p.Violations()) }

// Violations returns an outcome.InvalidField for each invalid field.
func (p Profile) Violations() []*outcome.Error {
	var v violations
	if !namePattern.MatchString(p.Name) {
		v.add("name", nameRule)
	}
	if p.Kind != job.Check && p.Kind != job.Proof && p.Kind != job.Watch {
		v.add("kind", `one of "check", "proof", "watch"`)
	}
	switch {
	case p.Kind == job.Check && p.Service == "":
		v.add("service", "a check needs the service that runs it")
	case p.Kind != job.Check && p.Service != "":
		v.add("service", "only a check has a service")
	}
	if p.DeadlineMs < 1 || p.DeadlineMs > MaxDeadlineMs {
		v.add("deadline_ms", fmt.Sprintf("1 to %d", MaxDeadlineMs))
	}
	switch {
	case !p.Resources.InRange():
		v.add("resources", amountRule)
	case p.Kind != job.Check && (p.Resources.MilliCPU == 0 || p.Resources.MemoryMB == 0):
		v.add("resources", "a task needs milli_cpu and memory_mb")
	}
	if p.Weight > MaxWeight {
		v.add("weight", fmt.Sprintf("0 to %d", MaxWeight))
	}
	if p.HedgePercent > 100 {
		v.add("hedge_percent", "0 to 100")
	}
	if p.Urgent && p.Kind == job.Check {
		v.add("urgent", "checks are always urgent; only a proof or watch can set this field")
	}
	if p.Priority < 0 {
		v.add("priority", notNegative)
	}
	if p.MaxAttempts < 0 {
		v.add("max_attempts", notNegative)
	}
	if p.ObjectiveMs < 0 {
		v.add("objective_ms", notNegative)
	}
	// TOML has NaN and infinity, which no JSON body can hold. NaN is not 0 or more either.
	if !(p.ObjectiveStretch >= 0) || math.IsInf(p.ObjectiveStretch, 1) {
		v.add("objective_stretch", notNegative)
	}
	if a := p.Advice; a != nil && min(a.DecideMs, a.EachMs, a.ValidMs) < 0 {
		v.add("advice", "no time may be negative")
	}
	return v
}

// Team groups requests whose batch work shares a quota.
type Team struct {
	Name string `msgpack:"n" json:"name" toml:"name"`
	// Quota is what the team's running batch work may always use. Unused parts are
	// lent to other teams. Zero: the team is not limited and lends nothing.
	Quota   resources.Resources `msgpack:"q" json:"quota" toml:"quota"`
	Weight  uint16              `msgpack:"w" json:"weight" toml:"weight"`
	Version uint64              `msgpack:"v" json:"version" toml:"-"` // configuration version of the last change
}

// Validate returns an outcome.InvalidField for the first invalid field.
func (t Team) Validate() error { return first(t.Violations()) }

// Violations returns an outcome.InvalidField for each invalid field.
func (t Team) Violations() []*outcome.Error {
	var v violations
	if !namePattern.MatchString(t.Name) {
		v.add("name", nameRule)
	}
	if !t.Quota.InRange() {
		v.add("quota", amountRule)
	}
	if t.Weight > MaxWeight {
		v.add("weight", fmt.Sprintf("0 to %d", MaxWeight))
	}
	return v
}

// StopScope is the kind of process or group that a planned stop covers.
type StopScope string

// The scopes of a planned stop.
const (
	ScopeTarget StopScope = "target"         // the targets beside one agent
	ScopeWorker StopScope = "worker"         // one worker with all its work
	ScopeEntry  StopScope = "entry"          // one entry
	ScopeDomain StopScope = "failure_domain" // every process of a failure domain
)

// Stop is a planned stop: the covered processes drain within the grace period.
type Stop struct {
	ID       string    `msgpack:"i" json:"id" toml:"-"`
	Scope    StopScope `msgpack:"s" json:"scope" toml:"scope"`
	Name     string    `msgpack:"n" json:"name" toml:"name"` // ID of the covered process, or the failure domain
	GraceMs  int64     `msgpack:"g" json:"grace_ms" toml:"grace_ms"`
	PlacedMs int64     `msgpack:"p" json:"placed_ms" toml:"-"` // unix time in milliseconds
	Version  uint64    `msgpack:"v" json:"version" toml:"-"`   // configuration version that added the stop
}

// Validate returns an outcome.InvalidField for the first invalid field.
func (s Stop) Validate() error { return first(s.Violations()) }

// Violations returns an outcome.InvalidField for each invalid field.
func (s Stop) Violations() []*outcome.Error {
	var v violations
	if s.Scope != ScopeTarget && s.Scope != ScopeWorker && s.Scope != ScopeEntry && s.Scope != ScopeDomain {
		v.add("scope", `one of "target", "worker", "entry", "failure_domain"`)
	}
	if s.Name == "" {
		v.add("name", "the name of what the stop covers is missing")
	}
	if s.GraceMs < 0 || s.GraceMs > maxGraceMs {
		v.add("grace_ms", fmt.Sprintf("0 to %d", maxGraceMs))
	}
	return v
}

// Covers reports whether the stop applies to a process, given the scope of its kind,
// its ID and its failure domain.
func (s Stop) Covers(scope StopScope, id, domain string) bool {
	if s.Scope == ScopeDomain {
		return s.Name == domain
	}
	return s.Scope == scope && s.Name == id
}

// Document is one version of the whole configuration.
type Document struct {
	Version  uint64             `msgpack:"v" json:"version"`
	Profiles map[string]Profile `msgpack:"p" json:"profiles"`
	Teams    map[string]Team    `msgpack:"t" json:"teams"`
	Stops    map[string]Stop    `msgpack:"s" json:"stops"` // by ID; the other maps are by name
	// Services are the pools of workers; empty except on the users' platform.
	Services map[string]Service `msgpack:"sv,omitempty" json:"services,omitempty"`
	// MaxBodyBytes bounds the body of a submitted job; 0: only the settings bound it.
	MaxBodyBytes int64 `msgpack:"b,omitempty" json:"max_body_bytes,omitempty"`
}

// Service describes a pool of workers.
type Service struct {
	Name       string `msgpack:"n" json:"name"`
	HealthPath string `msgpack:"h,omitempty" json:"health_path,omitempty"`
	// GuardsCapacity is set if the workers refuse starts that exceed their capacity.
	GuardsCapacity bool `msgpack:"g,omitempty" json:"guards_capacity,omitempty"`
	Spare          bool `msgpack:"s,omitempty" json:"spare,omitempty"` // its spare machines are powered off
}

// Delta is the change that leads to version Version. Exactly one of Profile,
// Team, Stop and RemovedStop is set.
type Delta struct {
	Version     uint64   `msgpack:"v" json:"version"`
	Profile     *Profile `msgpack:"p,omitempty" json:"profile,omitempty"`
	Team        *Team    `msgpack:"t,omitempty" json:"team,omitempty"`
	Stop        *Stop    `msgpack:"s,omitempty" json:"stop,omitempty"`
	RemovedStop string   `msgpack:"r,omitempty" json:"removed_stop,omitempty"`
	ID          string   `msgpack:"i,omitempty" json:"id,omitempty"` // distinguishes changes with the same content
	By          string   `msgpack:"b,omitempty" json:"by,omitempty"`
	AtMs        int64    `msgpack:"m,omitempty" json:"at_ms,omitempty"` // unix time in milliseconds
}

// Empty returns the document of version 0, which has no content.
func Empty() *Document {
	return &Document{
		Profiles: map[string]Profile{}, Teams: map[string]Team{}, Stops: map[string]Stop{},
		Services: map[string]Service{},
	}
}

// Route returns the profile for a URL's host and path, and the path after its prefix.
// It selects the longest prefix of the path among the host's profiles that are not
// retired; ok is false if there is none.
func (d *Document) Route(host, path string) (p Profile, rest string, ok bool) {
	for _, candidate := range d.Profiles {
		if candidate.Prefix == "" || candidate.Host != host || candidate.Retired {
			continue
		}
		if after, found := strings.CutPrefix(path, candidate.Prefix); found && (!ok || len(candidate.Prefix) > len(p.Prefix)) {
			p, rest, ok = candidate, after, true
		}
	}
	return p, rest, ok
}

// Apply returns the document with the delta applied. The error is an
// outcome.Conflict if the delta is not that of the next version.
func (d *Document) Apply(delta Delta) (*Document, error) {
	if delta.Version != d.Version+1 {
		return nil, outcome.New(outcome.Conflict, fmt.Sprintf("delta %d does not follow version %d", delta.Version, d.Version))
	}
	next := &Document{
		Version: delta.Version, Profiles: d.Profiles, Teams: d.Teams, Stops: d.Stops,
		Services: d.Services, MaxBodyBytes: d.MaxBodyBytes,
	}
	switch {
	case delta.Profile != nil:
		next.Profiles = copyWith(d.Profiles, delta.Profile.Name, *delta.Profile)
	case delta.Team != nil:
		next.Teams = copyWith(d.Teams, delta.Team.Name, *delta.Team)
	case delta.Stop != nil:
		next.Stops = copyWith(d.Stops, delta.Stop.ID, *delta.Stop)
	case delta.RemovedStop != "":
		next.Stops = copyWithout(d.Stops, delta.RemovedStop)
	}
	return next, nil
}

// ProfileNames returns the names of all profiles in ascending order.
func (d *Document) ProfileNames() []string {
	names := make([]string, 0, len(d.Profiles))
	for name := range d.Profiles {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// StopFor returns a planned stop that covers a process, if there is one.
func (d *Document) StopFor(scope StopScope, id, domain string) (Stop, bool) {
	for _, s := range d.Stops {
		if s.Covers(scope, id, domain) {
			return s, true
		}
	}
	return Stop{}, false
}

func copyWith[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	for k, v := range m {
		next[k] = v
	}
	next[key] = value
	return next
}

func copyWithout[V any](m map[string]V, key string) map[string]V {
	next := make(map[string]V, len(m))
	for k, v := range m {
		if k != key {
			next[k] = v
		}
	}
	return next
}
