package main

import (
	"context"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/camphorheadctl/admin"
)

type (
	teamListCommand struct{ app *app }
	teamSetCommand  struct {
		app          *app
		MilliCPU     *int64  `long:"milli-cpu" value-name:"N" description:"quota of processors in 1/1000 core"`
		MemoryMB     *int64  `long:"memory-mb" value-name:"N" description:"quota of memory"`
		Accelerators *int64  `long:"accelerators" value-name:"N" description:"quota of accelerators"`
		Weight       *uint16 `long:"weight" value-name:"N" description:"share among teams, 0 to 1000"`
		Version      *uint64 `long:"version" value-name:"N" description:"version of the team that the change is based on; by default the current one, 0 creates"`
		DryRun       bool    `long:"dry-run" description:"check the change without making it"`
		Args         struct {
			Name string `positional-arg-name:"NAME" description:"team"`
		} `positional-args:"yes" required:"yes"`
	}
)

func (a *app) addTeam(parent *flags.Command) error {
	return addGroup(parent, "team", "show and change teams and their quotas", "Shows and changes teams and their quotas.", []subcommand{
		{"list", "list the teams", "Lists the teams with their quotas.", &teamListCommand{app: a}},
		{
			"set", "create or change a team",
			"Creates or changes a team. Values that are not given stay as they are, or are 0 for a new team.", &teamSetCommand{app: a},
		},
	})
}

// Execute implements flags.Commander.
func (c *teamListCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		list, err := client.Teams(ctx)
		if err != nil {
			return err
		}
		if c.app.options.JSON {
			return c.app.printJSON(list)
		}
		t := newTable(c.app.out, "TEAM", "VERSION", "CORES", "MEMORY GB", "ACCELERATORS", "WEIGHT")
		for _, team := range list {
			t.row(team.Name, team.Version, cores(team.Quota.MilliCPU), gigabytes(team.Quota.MemoryMB), team.Quota.Accelerators, team.Weight)
		}
		return t.flush()
	})
}

// Execute implements flags.Commander.
func (c *teamSetCommand) Execute([]string) error {
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		current, err := findTeam(ctx, client, c.Args.Name)
		if err != nil {
			return err
		}
		updated := c.applyTo(current)
		basedOn := current.Version
		if c.Version != nil {
			basedOn = *c.Version
		}
		if updated == current && basedOn == current.Version && current.Version > 0 {
			return c.app.printChange("team "+updated.Name+" unchanged", admin.Change{
				Version: current.Version, DryRun: c.DryRun, Delta: profile.Delta{Team: &current},
			})
		}
		change, err := client.PutTeam(ctx, updated, admin.Edit{BasedOn: basedOn, DryRun: c.DryRun})
		if err != nil {
			return err
		}
		return c.app.printChange("team "+updated.Name+" set to "+formatQuota(updated.Quota), change)
	})
}

func formatQuota(quota resources.Resources) string {
	if text := formatResources(quota); text != "" {
		return text
	}
	return "no quota"
}

// findTeam returns the current state of a team; version 0 if it does not exist.
func findTeam(ctx context.Context, client *admin.Client, name string) (profile.Team, error) {
	list, err := client.Teams(ctx)
	for _, t := range list {
		if t.Name == name {
			return t, nil
		}
	}
	return profile.Team{Name: name}, err
}

// applyTo returns t with the given options applied.
func (c *teamSetCommand) applyTo(t profile.Team) profile.Team {
	setIfGiven(&t.Quota.MilliCPU, c.MilliCPU)
	setIfGiven(&t.Quota.MemoryMB, c.MemoryMB)
	setIfGiven(&t.Quota.Accelerators, c.Accelerators)
	setIfGiven(&t.Weight, c.Weight)
	return t
}

func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
