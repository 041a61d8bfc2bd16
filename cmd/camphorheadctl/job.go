package main

import (
	"context"
	"errors"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
	"camphorhead.example/camphorhead/request/job"
)

// maxLongPoll bounds how long one call waits at the entry for the end of a job.
const maxLongPoll = 30 * time.Second

// jobArgs are the arguments shared by all commands about one job.
type jobArgs struct {
	Franchisee string `long:"franchisee" required:"yes" description:"franchisee whose job it is"`
	Args       struct {
		ID string `positional-arg-name:"ID" description:"job id, as the request's answer gave it"`
	} `positional-args:"yes" required:"yes"`
}

type (
	jobShowCommand struct {
		app *app
		jobArgs
	}
	jobWaitCommand struct {
		app *app
		jobArgs
	}
	jobCancelCommand struct {
		app *app
		jobArgs
	}
)

func (a *app) addJob(parent *flags.Command) error {
	group, err := parent.AddCommand("job", "show, await or cancel an accepted job", "Shows, awaits or cancels an accepted job.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"show", "show a job", "Shows the record of a job.", &jobShowCommand{app: a}},
		{"wait", "wait for the end of a job", "Waits up to --timeout for the end of a job. Exit code 1 unless it is done.", &jobWaitCommand{app: a}},
		{"cancel", "cancel a job", "Requests the cancellation of a job. A running job ends soon afterwards.", &jobCancelCommand{app: a}},
	} {
		if _, err := group.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return err
		}
	}
	return nil
}

// Execute implements flags.Commander.
func (c *jobShowCommand) Execute([]string) error {
	return c.app.callJob(func(ctx context.Context, client *caller.Client) (caller.Job, error) {
		return client.Job(ctx, c.Args.ID, c.Franchisee, 0)
	})
}

// Execute implements flags.Commander.
func (c *jobCancelCommand) Execute([]string) error {
	return c.app.callJob(func(ctx context.Context, client *caller.Client) (caller.Job, error) {
		return client.Cancel(ctx, c.Args.ID, c.Franchisee)
	})
}

// Execute implements flags.Commander.
func (c *jobWaitCommand) Execute([]string) error {
	state := job.State("")
	err := c.app.callJob(func(ctx context.Context, client *caller.Client) (caller.Job, error) {
		found, err := awaitJob(ctx, client, c.Args.ID, c.Franchisee)
		state = found.State
		return found, err
	})
	if err == nil && state != job.Done {
		return errFailed
	}
	return err
}

// responseMargin is the part of the time limit reserved for the transfer of a response.
const responseMargin = 500 * time.Millisecond

// awaitJob polls a job until it has ended or responseMargin is left until the deadline
// of ctx, and returns its latest state.
func awaitJob(ctx context.Context, client *caller.Client, id, franchisee string) (caller.Job, error) {
	for {
		deadline, _ := ctx.Deadline()
		wait := min(time.Until(deadline)-responseMargin, maxLongPoll)
		found, err := client.Job(ctx, id, franchisee, max(wait, 0))
		if err != nil || found.State.Terminal() || time.Until(deadline) <= responseMargin {
			return found, err
		}
	}
}

// callJob makes a call about a job with --timeout as its limit and prints the job.
func (a *app) callJob(call func(context.Context, *caller.Client) (caller.Job, error)) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := a.withTimeout(a.options.Timeout)
	defer cancel()
	found, err := call(ctx, client)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err != nil {
		return errs.New("no response within --timeout: %w", err)
	}
	if err != nil {
		return a.handleError(err)
	}
	return a.printJob(found)
}
