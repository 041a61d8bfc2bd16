package main

import (
	"cmp"
	"fmt"
	"slices"

	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/check"
)

func newFinding(e settings.Error, item check.Item) finding {
	return finding{e.File, e.Line, e.Column, e.Key, item.Kind, item.Name, e.Message}
}

func sortFindings(list []finding) {
	slices.SortStableFunc(list, func(a, b finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// text formats a finding like a settings.Error, whose message is the given one.
func (f finding) text(message string) string {
	separator := ":"
	if f.Line == 0 {
		separator = ": "
	}
	return clean(f.File + separator + settings.Error{Line: f.Line, Column: f.Column, Key: f.Key, Message: message}.Error())
}

// print prints the result; complete is set if everything could be read.
func (c *configCheckCommand) print(r checkResult, complete bool) error {
	if c.app.options.JSON {
		return c.app.printJSON(r)
	}
	for _, f := range r.Errors {
		fmt.Fprintln(c.app.out, f.text(f.Message))
	}
	for _, f := range r.Warnings {
		fmt.Fprintln(c.app.out, f.text("warning: "+f.Message))
	}
	for _, change := range r.Changes {
		name := string(change.Kind)
		if change.Name != "" {
			name += " " + change.Name
		}
		fmt.Fprintln(c.app.out, clean(fmt.Sprintf("%s: would be %s", name, change.Action)))
		for _, f := range change.Fields {
			fmt.Fprintln(c.app.out, "  "+clean(fieldChange(f).String()))
		}
	}
	if complete && len(r.Errors) == 0 && len(r.Warnings) == 0 {
		fmt.Fprintf(c.app.out, "%s: ok\n", c.subject())
	}
	return nil
}
