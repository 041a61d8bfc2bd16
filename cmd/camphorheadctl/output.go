package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
)

// printJSON writes a value as one line of JSON.
func (a *app) printJSON(value any) error { return errs.Wrap(json.NewEncoder(a.out).Encode(value)) }

// handleError returns the error that ends the command. With --json it prints an entry's
// refusal to stdout and returns errFailed.
func (a *app) handleError(err error) error {
	var refusal *caller.Refusal
	if !a.options.JSON || !errors.As(err, &refusal) {
		return err
	}
	return errs.Combine(a.printJSON(refusal), errFailed)
}

// printJob prints a job as JSON or as text.
func (a *app) printJob(found caller.Job) error {
	if a.options.JSON {
		return a.printJSON(found)
	}
	fmt.Fprintf(a.out, "%s %s %s, profile %s, franchisee %s\n", found.ID, found.Kind, found.State, found.Profile, found.Franchisee)
	if found.Agent != "" {
		fmt.Fprintf(a.out, "agent %s, incarnation %d, evictions %d\n", found.Agent, found.Incarnation, found.Evictions)
	}
	if found.Failure != nil {
		fmt.Fprintln(a.out, "failure:", found.Failure)
	}
	if len(found.Result) > 0 {
		fmt.Fprintf(a.out, "result: %s\n", found.Result)
	}
	return nil
}
