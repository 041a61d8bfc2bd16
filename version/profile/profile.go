// Package profile defines the configuration that operators write: profiles,
// teams, and planned stops, as one versioned document with deltas.
//
// Documents are immutable values. Apply returns the next one, so a reader
// keeps a consistent view for as long as it holds a pointer.
package profile

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// MaxDeadlineMs bounds the deadline of a check.
	MaxDeadlineMs = 600_000
	// MaxWeight bounds a share in fair queueing.
	MaxWeight = 1000

	maxGraceMs = 24 * 3600 * 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Profile says how requests that name it are run.
type Profile struct {
	Name    string   `msgpack:"n" json:"name" toml:"name"`
	Kind    job.Kind `msgpack:"k" json:"kind" toml:"kind"`
	Team    string   `msgpack:"t,omitempty" json:"team" toml:"team"`
	Service string   `msgpack:"s,omitempty" json:"service" toml:"service"`
	// DeadlineMs is the default and the upper bound of a request's deadline.
	DeadlineMs int64 `msgpack:"d" json:"deadline_ms" toml:"deadline_ms"`
	// Resources is the declared need of one task; it is a first guess.
	Resources resources.Resources `msgpack:"r" json:"resources" toml:"resources"`
	// Weight is the share of each franchisee under this profile.
	Weight uint16 `msgpack:"w,omitempty" json:"weight" toml:"weight"`
	// Urgent work may preempt checkpointed batch tasks.
	Urgent bool `msgpack:"u,omitempty" json:"urgent" toml:"urgent"`
	// HedgePercent is the share of idempotent checks that may be sent twice; 0 turns hedging off.
	HedgePercent uint8 `msgpack:"h,omitempty" json:"hedge_percent" toml:"hedge_percent"`
	// MaxEvictions bounds the evictions of one job.
	MaxEvictions uint32 `msgpack:"e,omitempty" json:"max_evictions" toml:"max_evictions"`
	Retired      bool   `msgpack:"x,omitempty" json:"retired" toml:"retired"`
	// Priority orders waiting tasks; 0 comes first.
	Priority int `msgpack:"pr,omitempty" json:"priority" toml:"priority"`
	// MaxAttempts is how many runs of a task may fail before its job has failed.
	MaxAttempts int `msgpack:"ma,omitempty" json:"max_attempts" toml:"max_attempts"`
	// ObjectiveMs and ObjectiveStretch are the latency objective of a job: the
	// stretch times its longest chain of work, and the milliseconds more.
	ObjectiveMs      int64   `msgpack:"om,omitempty" json:"objective_ms" toml:"objective_ms"`
	ObjectiveStretch float64 `msgpack:"os,omitempty" json:"objective_stretch" toml:"objective_stretch"`
	// Host and Prefix select the profile where callers name it by address.
	Host   string `msgpack:"hh,omitempty" json:"host" toml:"host"`
	Prefix string `msgpack:"hp,omitempty" json:"prefix" toml:"prefix"`
	// Advice, if set, asks a policy service which workers may run a step.
	Advice *Advice `msgpack:"ad,omitempty" json:"advice" toml:"advice"`
	// Version is the configuration version that last changed this profile.
	Version uint64 `msgpack:"v" json:"version" toml:"-"`
}

// Advice describes the policy service of a profile.
type Advice struct {
	// DecideMs and EachMs are the time of an answer: a fixed part, and a part
	// for each worker that is named.
	DecideMs int64 `msgpack:"d" json:"decide_ms" toml:"decide_ms"`
	EachMs   int64 `msgpack:"e" json:"each_ms" toml:"each_ms"`
	// ValidMs is how long a ticket may be used.
	ValidMs int64 `msgpack:"v" json:"valid_ms" toml:"valid_ms"`
}

// Validate names the first field at fault.
func (p Profile) Validate() error {
	switch {
	case !namePattern.MatchString(p.Name):
		return outcome.Field(outcome.InvalidField, "name", "1 to 63 of a-z, 0-9 and -")
	case p.Kind != job.Check && p.Kind != job.Proof && p.Kind != job.Watch:
		return outcome.Field(outcome.InvalidField, "kind", `one of "check", "proof", "watch"`)
	case p.Kind == job.Check && p.Service == "":
		return outcome.Field(outcome.InvalidField, "service", "a check needs the service that answers it")
	case p.Kind != job.Check && p.Service != "":
		return outcome.Field(outcome.InvalidField, "service", "only a check has a service")
	case p.DeadlineMs < 1 || p.DeadlineMs > MaxDeadlineMs:
		return outcome.Field(outcome.InvalidField, "deadline_ms", fmt.Sprintf("1 to %d", MaxDeadlineMs))
	case p.Resources.IsNegative():
		return outcome.Field(outcome.InvalidField, "resources", "no amount may be negative")
	case p.Kind != job.Check && (p.Resources.MilliCPU == 0 || p.Resources.MemoryMB == 0):
		return outcome.Field(outcome.InvalidField, "resources", "a task needs milli_cpu and memory_mb")
	case p.Weight > MaxWeight:
		return outcome.Field(outcome.InvalidField, "weight", fmt.Sprintf("0 to %d", MaxWeight))
	case p.HedgePercent > 100:
		return outcome.Field(outcome.InvalidField, "hedge_percent", "0 to 100")
	case p.Urgent && p.Kind == job.Check:
		return outcome.Field(outcome.InvalidField, "urgent", "checks are always urgent; only a proof or watch may say so")
	}
	return nil
}

// Team has a quota on running batch work.
type Team struct {
	Name    string              `msgpack:"n" json:"name" toml:"name"`
	Quota   resources.Resources `msgpack:"q" json:"quota" toml:"quota"`
	Weight  uint16              `msgpack:"w" json:"weight" toml:"weight"`
	Version uint64              `msgpack:"v" json:"version" toml:"-"`
}

// Validate names the first field at fault.
func (t Team) Validate() error {
	switch {
	case !namePattern.MatchString(t.Name):
		return outcome.Field(outcome.InvalidField, "name", "1 to 63 of a-z, 0-9 and -")
	case t.Quota.IsNegative():
		return outcome.Field(outcome.InvalidField, "quota", "no amount may be negative")
	case t.Weight > MaxWeight:
		return outcome.Field(outcome.InvalidField, "weight", fmt.Sprintf("0 to %d", MaxWeight))
	}
	return nil
}

// StopScope says what a planned stop covers.
type StopScope string

// The scopes of a planned stop.
const (
	ScopeTarget StopScope = "target"
	ScopeWorker StopScope = "worker"
	ScopeEntry  StopScope = "entry"
	ScopeDomain StopScope = "failure_domain"
)

// Stop is a planned stop.
type Stop struct {
	ID       string    `msgpack:"i" json:"id"`
	Scope    StopScope `msgpack:"s" json:"scope"`
	Name     string    `msgpack:"n" json:"name"`
	GraceMs  int64     `msgpack:"g" json:"grace_ms"`
	PlacedMs int64     `msgpack:"p" json:"placed_ms"`
	Version  uint64    `msgpack:"v" json:"version"`
}

// Validate names the first field at fault.
func (s Stop) Validate() error {
	switch {
	case s.Scope != ScopeTarget && s.Scope != ScopeWorker && s.Scope != ScopeEntry && s.Scope != ScopeDomain:
		return outcome.Field(outcome.InvalidField, "scope", `one of "target", "worker", "entry", "failure_domain"`)
	case s.Name == "":
		return outcome.Field(outcome.InvalidField, "name", "missing")
	case s.GraceMs < 0 || s.GraceMs > maxGraceMs:
		return outcome.Field(outcome.InvalidField, "grace_ms", fmt.Sprintf("0 to %d", maxGraceMs))
	}
	return nil
}

// Covers reports whether the stop applies to a process.
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
	Stops    map[string]Stop    `msgpack:"s" json:"stops"`
	// Services are the pools of workers; empty where they need no description.
	Services map[string]Service `msgpack:"sv,omitempty" json:"services,omitempty"`
	// MaxBodyBytes bounds the body of a submitted job; 0: only the settings do.
	MaxBodyBytes int64 `msgpack:"b,omitempty" json:"max_body_bytes,omitempty"`
}

// Service describes a pool of workers.
type Service struct {
	Name       string `msgpack:"n" json:"name"`
	HealthPath string `msgpack:"h,omitempty" json:"health_path,omitempty"`
	// GuardsCapacity says that its workers refuse what exceeds their capacity.
	GuardsCapacity bool `msgpack:"g,omitempty" json:"guards_capacity,omitempty"`
	// Spare machines of the service are off.
	Spare bool `msgpack:"s,omitempty" json:"spare,omitempty"`
}

// Delta is the change that leads to one version. Exactly one pointer or
// RemovedStop is set.
type Delta struct {
	Version     uint64   `msgpack:"v" json:"version"`
	Profile     *Profile `msgpack:"p,omitempty" json:"profile,omitempty"`
	Team        *Team    `msgpack:"t,omitempty" json:"team,omitempty"`
	Stop        *Stop    `msgpack:"s,omitempty" json:"stop,omitempty"`
	RemovedStop string   `msgpack:"r,omitempty" json:"removed_stop,omitempty"`
	// ID tells this change apart from another one with the same content.
	ID   string `msgpack:"i,omitempty" json:"id,omitempty"`
	By   string `msgpack:"b,omitempty" json:"by,omitempty"`
	AtMs int64  `msgpack:"m,omitempty" json:"at_ms,omitempty"`
}

// Empty returns version 0.
func Empty() *Document {
	return &Document{
		Profiles: map[string]Profile{}, Teams: map[string]Team{}, Stops: map[string]Stop{},
		Services: map[string]Service{},
	}
}

// Route returns the profile whose host is the given one and whose prefix is the
// longest with which the path begins, and the rest of the path.
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

// Apply returns the document after d, which must be the next version.
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
		next.Profiles = with(d.Profiles, delta.Profile.Name, *delta.Profile)
	case delta.Team != nil:
		next.Teams = with(d.Teams, delta.Team.Name, *delta.Team)
	case delta.Stop != nil:
		next.Stops = with(d.Stops, delta.Stop.ID, *delta.Stop)
	case delta.RemovedStop != "":
		next.Stops = without(d.Stops, delta.RemovedStop)
	}
	return next, nil
}

// ProfileNames returns all names in order.
func (d *Document) ProfileNames() []string {
	names := make([]string, 0, len(d.Profiles))
	for name := range d.Profiles {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// StopFor returns the planned stop that covers a process, if any.
func (d *Document) StopFor(scope StopScope, id, domain string) (Stop, bool) {
	for _, s := range d.Stops {
		if s.Covers(scope, id, domain) {
			return s, true
		}
	}
	return Stop{}, false
}

func with[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	for k, v := range m {
		next[k] = v
	}
	next[key] = value
	return next
}

func without[V any](m map[string]V, key string) map[string]V {
	next := make(map[string]V, len(m))
	for k, v := range m {
		if k != key {
			next[k] = v
		}
	}
	return next
}
