package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one fault in a settings file. Line and Column start at 1 and locate the key, or
// its table if the key is missing; they are 0 for settings that are not from a file.
type Error struct {
	File    string
	Line    int
	Column  int
	Key     string
	Message string
}

// Error implements error.
func (e Error) Error() string {
	text := e.Message
	if e.Key != "" {
		text = e.Key + ": " + text
	}
	if e.Line > 0 {
		text = fmt.Sprintf("%d:%d: %s", e.Line, e.Column, text)
	}
	if e.File != "" {
		text = e.File + ":" + text
	}
	return text
}

// Errors holds all faults found in one file, ordered by position.
type Errors []Error

// Error implements error.
func (l Errors) Error() string {
	lines := make([]string, 0, len(l))
	for _, e := range l {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find an Error.
func (l Errors) Unwrap() []error {
	all := make([]error, 0, len(l))
	for _, e := range l {
		all = append(all, e)
	}
	return all
}

func (l Errors) sorted() Errors {
	slices.SortStableFunc(l, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return l
}
