package main

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/camphorheadctl/admin"
)

type (
	profileListCommand struct{ app *app }
	profileShowCommand struct {
		app  *app
		Args struct {
			Name string `positional-arg-name:"NAME" description:"profile"`
		} `positional-args:"yes" required:"yes"`
	}
	profileRetireCommand struct {
		app     *app
		Version uint64 `long:"version" required:"yes" value-name:"N" description:"version of the profile that is retired"`
		DryRun  bool   `long:"dry-run" description:"check the change without making it"`
		Args    struct {
			Name string `positional-arg-name:"NAME" description:"profile"`
		} `positional-args:"yes" required:"yes"`
	}
	profileHistoryCommand struct {
		app  *app
		Args struct {
			Name string `positional-arg-name:"NAME" description:"profile; without it, all changes of the configuration"`
		} `positional-args:"yes"`
	}
)

func (a *app) addProfile(parent *flags.Command) error {
	return addGroup(parent, "profile", "show and change profiles", "Shows and changes profiles.", []subcommand{
		{"list", "list the profiles in force", "Lists the profiles in force.", &profileListCommand{app: a}},
		{"show", "show one profile", "Shows one profile in force.", &profileShowCommand{app: a}},
		{
			"apply", "create or change profiles from TOML files",
			"Creates or changes the profiles of a file, or of all .toml files of a directory, and shows the fields that change. A profile that already equals its file is not sent.",
			&profileApplyCommand{app: a},
		},
		{
			"diff", "show how files differ from the profiles in force",
			"Shows what apply would change. Exit code 0 with or without differences.", &profileDiffCommand{app: a},
		},
		{"retire", "retire a profile", "Retires a profile: new requests for it are refused. Accepted jobs continue.", &profileRetireCommand{app: a}},
		{"history", "show the latest changes", "Shows the latest changes that the entry has seen, newest last.", &profileHistoryCommand{app: a}},
	})
}

// Execute implements flags.Commander.
func (c *profileListCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		list, err := client.Profiles(ctx)
		if err != nil {
			return err
		}
		if c.app.options.JSON {
			return c.app.printJSON(list)
		}
		t := newTable(c.app.out, "PROFILE", "VERSION", "KIND", "TEAM", "SERVICE", "DEADLINE", "RESOURCES", "WEIGHT", "STATE")
		for _, p := range list {
			t.row(p.Name, p.Version, p.Kind, p.Team, p.Service, milliseconds(p.DeadlineMs), formatResources(p.Resources), p.Weight, profileState(p))
		}
		return t.flush()
	})
}

func milliseconds(ms int64) string { return fmt.Sprintf("%d ms", ms) }

func profileState(p profile.Profile) string {
	switch {
	case p.Retired:
		return "retired"
	case p.Urgent:
		return "urgent"
	}
	return "in force"
}

// Execute implements flags.Commander.
func (c *profileShowCommand) Execute([]string) error {
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		p, err := client.Profile(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		return c.app.printProfile(p)
	})
}

func (a *app) printProfile(p profile.Profile) error {
	if a.options.JSON {
		return a.printJSON(p)
	}
	t := newTable(a.out)
	for _, f := range []struct {
		name  string
		value any
	}{
		{"name", p.Name},
		{"version", p.Version},
		{"kind", p.Kind},
		{"team", p.Team},
		{"service", p.Service},
		{"deadline_ms", p.DeadlineMs},
		{"resources.milli_cpu", p.Resources.MilliCPU},
		{"resources.memory_mb", p.Resources.MemoryMB},
		{"resources.accelerators", p.Resources.Accelerators},
		{"weight", p.Weight},
		{"urgent", p.Urgent},
		{"hedge_percent", p.HedgePercent},
		{"max_evictions", p.MaxEvictions},
		{"retired", p.Retired},
	} {
		t.row(f.name, f.value)
	}
	return t.flush()
}

// Execute implements flags.Commander.
func (c *profileRetireCommand) Execute([]string) error {
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		change, err := client.RetireProfile(ctx, c.Args.Name, admin.Edit{BasedOn: c.Version, DryRun: c.DryRun})
		if err != nil {
			return err
		}
		return c.app.printChange("profile "+c.Args.Name+" retired", change)
	})
}

// printChange prints the result of one change; what describes the change.
func (a *app) printChange(what string, change admin.Change) error {
	if a.options.JSON {
		return a.printJSON(change)
	}
	if change.DryRun {
		_, err := fmt.Fprintf(a.out, "%s (dry run; configuration stays at version %d)\n", what, change.Version)
		return err
	}
	_, err := fmt.Fprintf(a.out, "%s, configuration version %d\n", what, change.Version)
	return err
}

// Execute implements flags.Commander.
func (c *profileHistoryCommand) Execute([]string) error {
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		list, err := client.History(ctx, c.Args.Name)
		if err != nil {
			return err
		}
		if c.app.options.JSON {
			return c.app.printJSON(list)
		}
		t := newTable(c.app.out, "VERSION", "TIME", "BY", "CHANGE")
		for i, d := range list {
			t.row(d.Version, dateTime(d.AtMs), d.By, summarize(d, list[:i]))
		}
		return t.flush()
	})
}

// summarize describes the change of a delta; earlier holds the preceding deltas.
func summarize(d profile.Delta, earlier []profile.Delta) string {
	switch {
	case d.Profile != nil:
		return summarizeProfile(*d.Profile, earlier)
	case d.Team != nil:
		return "team " + d.Team.Name + ": " + formatResources(d.Team.Quota)
	case d.Stop != nil:
		return fmt.Sprintf("stop %s planned: %s %s", d.Stop.ID, d.Stop.Scope, d.Stop.Name)
	case d.RemovedStop != "":
		return "stop " + d.RemovedStop + " cancelled"
	}
	return ""
}

func summarizeProfile(p profile.Profile, earlier []profile.Delta) string {
	text := "profile " + p.Name
	for i := len(earlier) - 1; i >= 0; i-- {
		before := earlier[i].Profile
		if before == nil || before.Name != p.Name {
			continue
		}
		for n, f := range diffProfiles(*before, p) {
			text += map[bool]string{true: ": ", false: ", "}[n == 0] + f.String()
		}
		return text
	}
	return text + " written"
}
