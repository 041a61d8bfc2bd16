package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/camphorheadctl/admin"
	"camphorhead.example/camphorheadctl/profilefile"
)

type (
	profileApplyCommand struct {
		app       *app
		DryRun    bool          `long:"dry-run" description:"check and show the changes without making them"`
		Version   *uint64       `long:"version" value-name:"N" description:"version of the profile that the file is based on; by default the current one, 0 creates"`
		Wait      bool          `long:"wait" description:"wait until every process has the changes in force, and print the time that it took"`
		WaitLimit time.Duration `long:"wait-limit" default:"30s" description:"longest time for --wait"`
		profileFileArgs
	}
	profileDiffCommand struct {
		app *app
		profileFileArgs
	}
	profileFileArgs struct {
		Args struct {
			Path string `positional-arg-name:"FILE|DIR" description:"TOML file of one profile, or a directory of them"`
		} `positional-args:"yes" required:"yes"`
	}
)

// Values of appliedProfile.Action.
const (
	actionCreated   = "created"
	actionChanged   = "changed"
	actionUnchanged = "unchanged"
)

// appliedProfile is the result for one file. BasedOn is 0 for a new profile.
type appliedProfile struct {
	Profile string        `json:"profile"`
	File    string        `json:"file"`
	Action  string        `json:"action"`
	BasedOn uint64        `json:"based_on_version"`
	Version uint64        `json:"version"`
	Fields  []fieldChange `json:"fields,omitempty"`
}

// applyResult is the JSON output.
type applyResult struct {
	DryRun   bool             `json:"dry_run,omitempty"`
	Profiles []appliedProfile `json:"profiles"`
	// Version is the last configuration version that apply made; 0 if none.
	Version   uint64 `json:"version"`
	InForceMs *int64 `json:"in_force_ms,omitempty"`
	Processes int    `json:"processes,omitempty"`
}

// Execute implements flags.Commander.
func (c *profileApplyCommand) Execute([]string) error {
	files, err := profilefile.Load(c.Args.Path)
	if err != nil {
		return usageError.Wrap(err)
	}
	if c.Version != nil && len(files) != 1 {
		return usageError.New("--version needs one file, there are %d", len(files))
	}
	result := applyResult{DryRun: c.DryRun, Profiles: []appliedProfile{}}
	began := time.Now()
	err = c.app.callAdmin(func(ctx context.Context, client *admin.Client) error { return c.apply(ctx, client, files, &result) })
	if err == nil && c.Wait && result.Version > 0 && !c.DryRun {
		err = c.awaitInForce(&result, began)
	}
	if len(result.Profiles) == 0 && err != nil {
		return err
	}
	return errs.Combine(c.print(result), err)
}

// apply sends the profiles that differ, one by one, and stops at the first error.
func (c *profileApplyCommand) apply(ctx context.Context, client *admin.Client, files []profilefile.File, result *applyResult) error {
	current, err := currentProfiles(ctx, client)
	if err != nil {
		return err
	}
	for _, f := range files {
		planned := planApply(f, current)
		if planned.Action != actionUnchanged {
			if err := c.send(ctx, client, f, &planned, result); err != nil {
				return err
			}
		}
		result.Profiles = append(result.Profiles, planned)
	}
	return nil
}

func (c *profileApplyCommand) send(ctx context.Context, client *admin.Client, f profilefile.File, planned *appliedProfile, result *applyResult) error {
	if c.Version != nil {
		planned.BasedOn = *c.Version
	}
	change, err := client.PutProfile(ctx, f.Profile, admin.Edit{BasedOn: planned.BasedOn, DryRun: c.DryRun})
	if err != nil {
		return c.addDiffHint(f.Path, err)
	}
	if !c.DryRun {
		planned.Version, result.Version = change.Version, change.Version
	}
	return nil
}

// addDiffHint adds to a conflict the command that shows the difference. With --json the
// refusal stays as received.
func (c *profileApplyCommand) addDiffHint(path string, err error) error {
	var refusal *caller.Refusal
	if c.app.options.JSON || !errors.As(err, &refusal) || refusal.Kind != outcome.Conflict {
		return err
	}
	return errs.New("%s: see the difference with \"camphorheadctl profile diff %s\"", refusal.Message, path)
}

func currentProfiles(ctx context.Context, client *admin.Client) (map[string]profile.Profile, error) {
	list, err := client.Profiles(ctx)
	if err != nil {
		return nil, err
	}
	current := make(map[string]profile.Profile, len(list))
	for _, p := range list {
		current[p.Name] = p
	}
	return current, nil
}

// planApply compares a file with the profile in force and returns what apply would do.
func planApply(f profilefile.File, current map[string]profile.Profile) appliedProfile {
	now, exists := current[f.Profile.Name]
	planned := appliedProfile{
		Profile: f.Profile.Name, File: f.Path, Action: actionUnchanged,
		BasedOn: now.Version, Version: now.Version, Fields: diffProfiles(now, f.Profile),
	}
	switch {
	case !exists:
		planned.Action = actionCreated
	case len(planned.Fields) > 0:
		planned.Action = actionChanged
	}
	return planned
}

func (c *profileApplyCommand) awaitInForce(result *applyResult, began time.Time) error {
	ctx, cancel := c.app.withTimeout(c.WaitLimit)
	defer cancel()
	return c.app.withAdminClient(ctx, func(ctx context.Context, client *admin.Client) error {
		inForce, err := awaitVersion(ctx, client, result.Version, began)
		if err != nil {
			return err
		}
		ms := inForce.at.Sub(began).Milliseconds()
		result.InForceMs, result.Processes = &ms, inForce.processes
		return nil
	})
}

func (c *profileApplyCommand) print(r applyResult) error {
	if c.app.options.JSON {
		return c.app.printJSON(r)
	}
	for _, p := range r.Profiles {
		c.app.printApplied(p, r.DryRun)
	}
	if r.InForceMs != nil {
		fmt.Fprintf(c.app.out, "version %d is in force at all %d processes after %d ms\n", r.Version, r.Processes, *r.InForceMs)
	}
	return nil
}

func (a *app) printApplied(p appliedProfile, dryRun bool) {
	switch {
	case p.Action == actionUnchanged:
		fmt.Fprintf(a.out, "profile %s: unchanged, version %d\n", p.Profile, p.Version)
	case dryRun:
		fmt.Fprintf(a.out, "profile %s: would be %s, based on version %d\n", p.Profile, p.Action, p.BasedOn)
	default:
		fmt.Fprintf(a.out, "profile %s: %s, version %d\n", p.Profile, p.Action, p.Version)
	}
	for _, f := range p.Fields {
		fmt.Fprintln(a.out, "  "+clean(f.String()))
	}
}

// Execute implements flags.Commander.
func (c *profileDiffCommand) Execute([]string) error {
	files, err := profilefile.Load(c.Args.Path)
	if err != nil {
		return usageError.Wrap(err)
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		current, err := currentProfiles(ctx, client)
		if err != nil {
			return err
		}
		result := applyResult{DryRun: true, Profiles: []appliedProfile{}}
		for _, f := range files {
			result.Profiles = append(result.Profiles, planApply(f, current))
		}
		if c.app.options.JSON {
			return c.app.printJSON(result)
		}
		for _, p := range result.Profiles {
			c.app.printApplied(p, true)
		}
		return nil
	})
}
