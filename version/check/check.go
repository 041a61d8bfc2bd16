// Package check examines a configuration before it is sent: invalid fields, entries that can never
// match, limits that contradict each other, and what differs from the version in force.
//
// All functions are pure and neither keep nor change their arguments. The rules for invalid fields
// are those of version/profile.
package check

import (
	"cmp"
	"maps"
	"slices"

	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// Kind is the kind of an entry of the configuration.
type Kind string

// The kinds of entries. KindDocument stands for the configuration as a whole.
const (
	KindDocument Kind = "document"
	KindProfile  Kind = "profile"
	KindTeam     Kind = "team"
	KindStop     Kind = "stop"
	KindService  Kind = "service"
)

// Item identifies an entry of the configuration by its kind and its key in the document.
type Item struct {
	Kind Kind
	Name string
}

func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Finding is an error or a warning about one field of an entry. Field is the name of the field in
// the form that the API uses; empty if it concerns the whole entry.
type Finding struct {
	Item
	Field   string
	Message string
}

// Form is how a configuration reaches the product.
type Form uint8

const (
	// Changes are entries that operators create or change one by one; others stay in force.
	Changes Form = iota
	// Snapshot is the content of a whole document. Its entries are sent one by one as well.
	Snapshot
	// OperatorsDocument is a document that operators write to the store as a whole. The product
	// takes it as it was decoded.
	OperatorsDocument
)

// Input is a configuration and what is known of the deployment that it is meant for.
type Input struct {
	Proposed *profile.Document
	Form     Form
	// InForce is the version in force; nil if it is not known.
	InForce *profile.Document
	// Capacity is that of all workers; zero if it is not known.
	Capacity resources.Resources
}

// Result holds the findings and the differences, each ordered by kind and name.
type Result struct {
	Errors   []Finding
	Warnings []Finding
	// Changes is what differs from the version in force; empty if that is not known.
	Changes []Change
}

// Run checks a configuration.
func Run(in Input) Result {
	r := Result{Errors: in.invalid()}
	if in.InForce != nil {
		r.Changes = compare(in.InForce, in.Proposed, in.Form != Changes)
	}
	w := warner{doc: in.merged()}
	w.routes()
	w.services()
	w.quotas()
	w.limits()
	if len(in.Proposed.Teams) > 0 {
		w.capacity(in.Capacity)
	}
	w.version(in, len(r.Changes) > 0)
	r.Warnings = slices.DeleteFunc(w.found, func(f Finding) bool { return !in.proposes(f.Item) })
	sortFindings(r.Errors)
	sortFindings(r.Warnings)
	return r
}

func sortFindings(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(compareItems(a.Item, b.Item), cmp.Compare(a.Field, b.Field))
	})
}

// invalid returns the fields that the product would refuse.
func (in Input) invalid() []Finding {
	if in.Form == OperatorsDocument {
		return nil
	}
	var found []Finding
	add := func(kind Kind, name string, violations []*outcome.Error) {
		for _, v := range violations {
			found = append(found, Finding{Item{kind, name}, v.Field, v.Message})
		}
	}
	base := in.base()
	for name := range in.Proposed.Profiles {
		p := in.Proposed.Profiles[name]
		add(KindProfile, name, p.Violations())
		add(KindProfile, name, base.Contradictions(p))
	}
	for name, t := range in.Proposed.Teams {
		add(KindTeam, name, t.Violations())
	}
	for id, s := range in.Proposed.Stops {
		add(KindStop, id, s.Violations())
	}
	return found
}

// base returns what a proposed profile may contradict: the profiles in force, and all teams. If the
// teams are not known, every team counts as existing.
func (in Input) base() *profile.Document {
	base := profile.Empty()
	if in.InForce != nil {
		base.Profiles = in.InForce.Profiles
	}
	base.Teams = in.merged().Teams
	if in.Form == Changes && in.InForce == nil && len(in.Proposed.Teams) == 0 {
		base.Teams = map[string]profile.Team{}
		for name := range in.Proposed.Profiles {
			base.Teams[in.Proposed.Profiles[name].Team] = profile.Team{}
		}
	}
	return base
}

// merged returns the document that would result.
func (in Input) merged() *profile.Document {
	if in.Form != Changes || in.InForce == nil {
		return in.Proposed
	}
	next := *in.InForce
	next.Profiles = merge(in.InForce.Profiles, in.Proposed.Profiles)
	next.Teams = merge(in.InForce.Teams, in.Proposed.Teams)
	next.Stops = merge(in.InForce.Stops, in.Proposed.Stops)
	return &next
}

func merge[V any](older, newer map[string]V) map[string]V {
	all := make(map[string]V, len(older)+len(newer))
	maps.Copy(all, older)
	maps.Copy(all, newer)
	return all
}

// proposes reports whether the proposed configuration contains an entry. A warning about another one
// is not due to what is proposed.
func (in Input) proposes(item Item) (ok bool) {
	switch item.Kind {
	case KindProfile:
		_, ok = in.Proposed.Profiles[item.Name]
	case KindTeam:
		_, ok = in.Proposed.Teams[item.Name]
	case KindService:
		_, ok = in.Proposed.Services[item.Name]
	case KindStop:
		_, ok = in.Proposed.Stops[item.Name]
	default:
		ok = true
	}
	return ok
}
