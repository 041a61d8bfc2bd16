package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/camphorheadctl/admin"
)

type (
	stopPlanCommand struct {
		app    *app
		Scope  string        `long:"scope" required:"yes" choice:"target" choice:"worker" choice:"entry" choice:"failure_domain" description:"what is stopped"`
		Name   string        `long:"name" required:"yes" description:"id of the agent beside the target or worker, id of the entry, or name of the failure domain"`
		Grace  time.Duration `long:"grace" required:"yes" description:"time until what is left is reported, such as 5m"`
		DryRun bool          `long:"dry-run" description:"check the stop without planning it"`
	}
	stopListCommand   struct{ app *app }
	stopCancelCommand struct {
		app *app
		stopArgs
	}
	stopArgs struct {
		Args struct {
			ID string `positional-arg-name:"ID" description:"planned stop, as plan and list show it"`
		} `positional-args:"yes" required:"yes"`
	}
)

func (a *app) addStop(parent *flags.Command) error {
	return addGroup(parent, "stop", "plan and follow stops", "Plans and follows stops of targets, workers, entries and failure domains.", []subcommand{
		{
			"plan", "plan a stop",
			"Plans a stop. The targets, workers and entries that it covers receive no new work; requests in progress finish, tasks are checkpointed and moved.", &stopPlanCommand{app: a},
		},
		{"list", "list the planned stops", "Lists the planned stops with their progress.", &stopListCommand{app: a}},
		{"cancel", "cancel a planned stop", "Cancels a planned stop.", &stopCancelCommand{app: a}},
		{
			"wait", "follow a planned stop",
			"Prints the progress of a stop until it is complete. Exit code 1 if it is incomplete at the end of its grace period.", &stopWaitCommand{app: a},
		},
	})
}

// Execute implements flags.Commander.
func (c *stopPlanCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		stop := profile.Stop{Scope: profile.StopScope(c.Scope), Name: c.Name, GraceMs: c.Grace.Milliseconds()}
		if countCovered(stop, status) == 0 {
			fmt.Fprintf(c.app.errOut, "camphorheadctl: warning: the entry has no record of %s %s\n", c.Scope, c.Name)
		}
		change, err := client.PlanStop(ctx, stop, c.DryRun)
		if err != nil {
			return err
		}
		return c.app.printChange(stopPlanMessage(change, stop), change)
	})
}

func stopPlanMessage(change admin.Change, stop profile.Stop) string {
	what := fmt.Sprintf("stop of %s %s within %s", stop.Scope, stop.Name, time.Duration(stop.GraceMs)*time.Millisecond)
	if change.DryRun || change.Delta.Stop == nil {
		return what + " would be planned"
	}
	return change.Delta.Stop.ID + ": " + what + " planned"
}

// countCovered counts the agents and entries to which a stop applies.
func countCovered(s profile.Stop, status admin.Status) int {
	count := len(coveredEntries(s, status))
	for _, a := range status.Agents {
		if s.Covers(profile.ScopeWorker, a.Agent, a.FailureDomain) || s.Covers(profile.ScopeTarget, a.Agent, a.FailureDomain) {
			count++
		}
	}
	return count
}

// coveredEntries returns the ids of the entries to which a stop applies.
func coveredEntries(s profile.Stop, status admin.Status) []string {
	var list []string
	for _, e := range status.Entries {
		if s.Covers(profile.ScopeEntry, e.ID, e.Location.Domain) {
			list = append(list, e.ID)
		}
	}
	return list
}

// Execute implements flags.Commander.
func (c *stopListCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		list, now, err := client.Stops(ctx)
		if err != nil {
			return err
		}
		if c.app.options.JSON {
			return c.app.printJSON(list)
		}
		t := newTable(c.app.out, "STOP", "SCOPE", "NAME", "PLANNED", "GRACE LEFT", "AGENTS LEAVING", "TASKS LEFT", "CHECKS LEFT")
		for _, s := range list {
			t.row(s.ID, s.Scope, s.Name, dateTime(s.PlacedMs), graceLeft(s, now),
				fraction(fmt.Sprint(s.Draining), fmt.Sprint(s.Covered)), s.Tasks, s.Busy)
		}
		return t.flush()
	})
}

func graceLeft(s admin.Stop, now time.Time) string {
	// now is truncated to whole seconds, so it may be before PlacedMs.
	left := min(graceEnd(s).Sub(now), time.Duration(s.GraceMs)*time.Millisecond).Round(time.Second)
	if left <= 0 {
		return "over"
	}
	return left.String()
}

func graceEnd(s admin.Stop) time.Time { return time.UnixMilli(s.PlacedMs + s.GraceMs) }

// Execute implements flags.Commander.
func (c *stopCancelCommand) Execute([]string) error {
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		change, err := client.CancelStop(ctx, c.Args.ID)
		if err != nil {
			return err
		}
		return c.app.printChange("stop "+c.Args.ID+" cancelled", change)
	})
}
