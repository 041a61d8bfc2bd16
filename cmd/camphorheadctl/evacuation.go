package main

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorheadctl/admin"
)

type (
	evacuationListCommand struct{ app *app }
	// evacuationCommand begins an evacuation, or ends it.
	evacuationCommand struct {
		app  *app
		end  bool
		Args struct {
			Domain string `positional-arg-name:"FAILURE_DOMAIN" description:"name of the failure domain"`
		} `positional-args:"yes" required:"yes"`
	}
)

func (a *app) addEvacuation(parent *flags.Command) error {
	return addGroup(parent, "evacuation", "evacuate failure domains", "Evacuates failure domains and takes them back.", []subcommand{
		{
			"begin", "evacuate a failure domain",
			"Orders no more work to the workers of a failure domain. What runs there goes on. Exit code 1 if the leader has not confirmed it in time.", &evacuationCommand{app: a},
		},
		{"end", "take a failure domain back", "Ends an evacuation: the workers get work again.", &evacuationCommand{app: a, end: true}},
		{"list", "list the evacuations", "Lists the evacuated failure domains.", &evacuationListCommand{app: a}},
	})
}

// Execute implements flags.Commander.
func (c *evacuationCommand) Execute([]string) error {
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		change, what := client.BeginEvacuation, "evacuated"
		if c.end {
			change, what = client.EndEvacuation, "taken back"
		}
		e, err := change(ctx, c.Args.Domain)
		if err != nil {
			return err
		}
		if e.InForce == c.end {
			return fmt.Errorf("failure domain %s: recorded, but the leader has not confirmed it; see evacuation list", e.FailureDomain)
		}
		if c.app.options.JSON {
			return c.app.printJSON(e)
		}
		_, err = fmt.Fprintf(c.app.out, "failure domain %s %s\n", e.FailureDomain, what)
		return err
	})
}

// Execute implements flags.Commander.
func (c *evacuationListCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		list, err := client.Evacuations(ctx)
		if err != nil {
			return err
		}
		if c.app.options.JSON {
			return c.app.printJSON(list)
		}
		t := newTable(c.app.out, "FAILURE DOMAIN", "IN FORCE")
		for _, e := range list {
			t.row(e.FailureDomain, e.InForce)
		}
		return t.flush()
	})
}
