package main

import (
	"context"
	"errors"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorheadctl/admin"
)

// callAdmin runs calls of the administration API, all of them within --timeout.
func (a *app) callAdmin(calls func(context.Context, *admin.Client) error) error {
	ctx, cancel := a.withTimeout(a.options.Timeout)
	defer cancel()
	err := a.withAdminClient(ctx, calls)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errs.New("command did not complete within --timeout: %w", err)
	}
	return err
}

// withAdminClient runs calls of the administration API until ctx ends.
func (a *app) withAdminClient(ctx context.Context, calls func(context.Context, *admin.Client) error) error {
	client, err := admin.New(a.options.Entries, a.options.Token)
	if err != nil {
		return usageError.Wrap(err)
	}
	defer client.Close()
	if err := calls(ctx, client); err != nil {
		return a.handleError(err)
	}
	return nil
}

// subcommand is one command of a group.
type subcommand struct {
	name, short, long string
	command           any
}

func addGroup(parent *flags.Command, name, short, long string, commands []subcommand) error {
	group, err := parent.AddCommand(name, short, long, &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range commands {
		if _, err := group.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return err
		}
	}
	return nil
}

// noArguments returns a usage error if there are arguments.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError.New("unexpected argument %q", args[0])
	}
	return nil
}
