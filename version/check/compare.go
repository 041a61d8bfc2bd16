package check

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"camphorhead.example/camphorhead/version/profile"
)

// Action is how an entry differs from the version in force.
type Action string

// The actions. Entries are removed only by a configuration that is a whole document.
const (
	Created Action = "created"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is an entry that differs from the version in force. A planned stop is named by its scope
// and what it covers, because its ID is not known before it is planned.
type Change struct {
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field whose value differs. From or To is nil for a table that is absent.
type FieldChange struct {
	Field string `json:"field"`
	From  any    `json:"from"`
	To    any    `json:"to"`
}

// compare returns the changes from the version in force to the proposed one. whole is set if the
// entries that are not proposed would be removed.
func compare(inForce, proposed *profile.Document, whole bool) []Change {
	var list []Change
	if whole && inForce.MaxBodyBytes != proposed.MaxBodyBytes {
		list = append(list, Change{KindDocument, "", Changed, []FieldChange{{"max_body_bytes", inForce.MaxBodyBytes, proposed.MaxBodyBytes}}})
	}
	list = append(list, compareKind(KindProfile, inForce.Profiles, proposed.Profiles, whole)...)
	list = append(list, compareKind(KindTeam, inForce.Teams, proposed.Teams, whole)...)
	list = append(list, compareKind(KindStop, byCover(inForce.Stops), byCover(proposed.Stops), whole)...)
	list = append(list, compareKind(KindService, inForce.Services, proposed.Services, whole)...)
	return list
}

func compareKind[V any](kind Kind, inForce, proposed map[string]V, whole bool) []Change {
	var list []Change
	for _, name := range slices.Sorted(maps.Keys(merge(inForce, proposed))) {
		from, before := inForce[name]
		to, after := proposed[name]
		fields := Fields(from, to)
		switch {
		case !after && whole:
			list = append(list, Change{kind, name, Removed, nil})
		case !after:
		case !before:
			list = append(list, Change{kind, name, Created, fields})
		case len(fields) > 0:
			list = append(list, Change{kind, name, Changed, fields})
		}
	}
	return list
}

func byCover(stops map[string]profile.Stop) map[string]profile.Stop {
	list := make(map[string]profile.Stop, len(stops))
	for _, id := range slices.Sorted(maps.Keys(stops)) {
		s := stops[id]
		list[string(s.Scope)+" "+s.Name] = s
	}
	return list
}

// notCompared are the fields that identify an entry or that the product sets.
var notCompared = map[string]bool{"name": true, "version": true, "id": true, "placed_ms": true}

// Fields returns the fields of two entries of the same type, except their names and versions, whose
// values differ, in the order of their declaration.
func Fields(from, to any) []FieldChange {
	return appendFields(nil, "", reflect.ValueOf(from), reflect.ValueOf(to))
}

func appendFields(list []FieldChange, prefix string, from, to reflect.Value) []FieldChange {
	for i := range from.NumField() {
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		if prefix == "" && notCompared[name] {
			continue
		}
		name = prefix + name
		before, after := from.Field(i), to.Field(i)
		if before.Kind() == reflect.Pointer && !before.IsNil() && !after.IsNil() {
			before, after = before.Elem(), after.Elem()
		}
		switch {
		case before.Kind() == reflect.Struct:
			list = appendFields(list, name+".", before, after)
		case before.Kind() == reflect.Pointer:
			if before.IsNil() != after.IsNil() {
				list = append(list, FieldChange{name, pointed(before), pointed(after)})
			}
		case !before.Equal(after):
			list = append(list, FieldChange{name, before.Interface(), after.Interface()})
		}
	}
	return list
}

// pointed returns the value that a pointer refers to; nil if it is nil.
func pointed(v reflect.Value) any {
	if v.IsNil() {
		return nil
	}
	return v.Elem().Interface()
}
