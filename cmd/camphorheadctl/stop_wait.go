package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/camphorheadctl/admin"
)

const (
	stopPollInterval = 200 * time.Millisecond
	// progressReadTimeout bounds one attempt to read the progress.
	progressReadTimeout = 5 * time.Second
	// completionEventTimeout bounds the wait for the completion event of an agent once
	// the stop is complete.
	completionEventTimeout = 2 * time.Second
)

// stopWaitCommand prints the progress of one stop until its end.
type stopWaitCommand struct {
	app *app
	stopArgs
}

// stopProgress is the progress of a stop. With --json each change is printed as a line.
type stopProgress struct {
	admin.Stop
	// EntriesLeft are the covered entries that the status still lists.
	EntriesLeft []string `json:"entries_left,omitempty"`
	// Incomplete is set if the stop is not complete at the end of its grace period.
	Incomplete bool `json:"incomplete,omitempty"`
	// ElapsedMs is the time from planning to completion at the last agent; 0 if unknown.
	ElapsedMs int64 `json:"elapsed_ms,omitempty"`

	entryTime time.Time // clock of the entry, in whole seconds
}

// Execute implements flags.Commander.
func (c *stopWaitCommand) Execute([]string) error {
	return c.app.withAdminClient(c.app.ctx, func(ctx context.Context, client *admin.Client) error {
		last := ""
		for {
			p, err := c.read(ctx, client)
			if err != nil {
				return err
			}
			p.Incomplete = !p.Complete && p.entryTime.After(graceEnd(p.Stop))
			if line := progressLine(p); line != last {
				last = line
				if err := c.print(p, line); err != nil {
					return err
				}
			}
			switch {
			case p.Complete:
				return nil
			case p.Incomplete:
				return errFailed
			}
			if err := sleep(ctx, stopPollInterval); err != nil {
				return err
			}
		}
	})
}

// read returns the progress. It retries for up to --timeout while no entry responds.
func (c *stopWaitCommand) read(ctx context.Context, client *admin.Client) (stopProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, max(c.app.options.Timeout, stopPollInterval))
	defer cancel()
	for {
		p, err := c.readOnce(ctx, client)
		if err == nil || (!errors.Is(err, caller.ErrUnreachable) && !errors.Is(err, caller.ErrNoResponse)) {
			return p, err
		}
		if sleep(ctx, stopPollInterval) != nil {
			return p, err
		}
	}
}

func (c *stopWaitCommand) readOnce(ctx context.Context, client *admin.Client) (stopProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, progressReadTimeout)
	defer cancel()
	list, now, err := client.Stops(ctx)
	if err != nil {
		return stopProgress{}, err
	}
	for _, s := range list {
		if s.ID == c.Args.ID {
			return c.evaluate(ctx, client, stopProgress{Stop: s, entryTime: now})
		}
	}
	return stopProgress{}, errs.New("no planned stop %s; it may have been cancelled", c.Args.ID)
}

// evaluate decides whether the stop is complete. A covered entry has left once the
// status no longer lists it; by then another entry leads.
func (c *stopWaitCommand) evaluate(ctx context.Context, client *admin.Client, p stopProgress) (stopProgress, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return p, err
	}
	p.EntriesLeft = coveredEntries(p.Stop.Stop, status)
	coversAny := p.Covered > 0 || p.Scope == profile.ScopeEntry
	p.Complete = p.Complete && coversAny && len(p.EntriesLeft) == 0
	if !p.Complete {
		return p, nil
	}
	deadline := time.Now().Add(completionEventTimeout)
	for {
		p.ElapsedMs, err = elapsedMs(ctx, client, p.Stop)
		if err != nil || p.ElapsedMs > 0 || p.Covered == 0 || time.Now().After(deadline) {
			return p, err
		}
		if err := sleep(ctx, stopPollInterval); err != nil {
			return p, err
		}
	}
}

// elapsedMs returns the time from planning to the last completion event of the stop; 0
// if there is none.
func elapsedMs(ctx context.Context, client *admin.Client, s admin.Stop) (int64, error) {
	events, err := client.Timeline(ctx, timeline.Filter{
		Name: eventName(event.PlannedStopComplete), SinceMs: s.PlacedMs - maxClockSkew.Milliseconds(),
	})
	last := s.PlacedMs
	for _, r := range events.Records {
		if r.Value("stop") == s.ID {
			last = max(last, r.At.Ms())
		}
	}
	return last - s.PlacedMs, err
}

func (c *stopWaitCommand) print(p stopProgress, line string) error {
	if c.app.options.JSON {
		return c.app.printJSON(p)
	}
	_, err := fmt.Fprintln(c.app.out, line)
	return err
}

func progressLine(p stopProgress) string {
	subject := fmt.Sprintf("%s: %s %s: ", p.ID, p.Scope, p.Name)
	left := fmt.Sprintf("%d of %d agents leaving, %d tasks and %d checks left", p.Draining, p.Covered, p.Tasks, p.Busy)
	if len(p.EntriesLeft) > 0 {
		left += fmt.Sprintf(", entries not yet stopped: %v", p.EntriesLeft)
	}
	switch {
	case p.Complete && p.ElapsedMs > 0:
		return subject + fmt.Sprintf("complete after %d ms", p.ElapsedMs)
	case p.Complete:
		return subject + "complete"
	case p.Incomplete:
		return subject + "incomplete at the end of its grace period: " + left
	case p.Covered == 0 && len(p.EntriesLeft) == 0:
		return subject + "covers no known agent"
	}
	return subject + left
}
