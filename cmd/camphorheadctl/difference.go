package main

import (
	"fmt"

	"camphorhead.example/camphorhead/version/check"
	"camphorhead.example/camphorhead/version/profile"
)

// fieldChange is one field that differs between two versions of a profile.
type fieldChange check.FieldChange

func (f fieldChange) String() string { return fmt.Sprintf("%s: %v -> %v", f.Field, f.From, f.To) }

// diffProfiles returns the fields set by operators whose values differ, in fixed order.
func diffProfiles(from, to profile.Profile) []fieldChange {
	var list []fieldChange
	for _, f := range check.Fields(from, to) {
		list = append(list, fieldChange(f))
	}
	return list
}
