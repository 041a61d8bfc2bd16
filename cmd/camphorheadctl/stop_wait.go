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
	stopPoll = 200 * time.Millisecond
	// readingTimeout bounds one reading of the progress.
	readingTimeout = 5 * time.Second
	// eventWait bounds the wait for the event of an agent that has nothing left.
	eventWait = 2 * time.Second
)

// stopWaitCommand follows one stop to its end.
type stopWaitCommand struct {
	app *app
	stopArgs
}

// stopProgress is one reading. With --json each change of it is one line.
type stopProgress struct {
	admin.Stop
	// EntriesLeft are the covered entries that still take part.
	EntriesLeft []string `json:"entries_left,omitempty"`
	// Incomplete is set when the stop is not complete at the end of its grace.
	Incomplete bool `json:"incomplete,omitempty"`
	// ElapsedMs is the time from the plan to the completion at the last agent.
	ElapsedMs int64 `json:"elapsed_ms,omitempty"`

	now time.Time // at the entry
}

// Execute implements flags.Commander.
func (c *stopWaitCommand) Execute([]string) error {
	return c.app.withAdmin(c.app.ctx, func(ctx context.Context, client *admin.Client) error {
		last := ""
		for {
			p, err := c.read(ctx, client)
			if err != nil {
				return err
			}
			p.Incomplete = !p.Complete && p.now.After(graceEnd(p.Stop))
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
			if err := pause(ctx, stopPoll); err != nil {
				return err
			}
		}
	})
}

// read returns the progress; while an entry gives no answer it asks again for
// --timeout.
func (c *stopWaitCommand) read(ctx context.Context, client *admin.Client) (stopProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, max(c.app.options.Timeout, stopPoll))
	defer cancel()
	for {
		p, err := c.readOnce(ctx, client)
		if err == nil || (!errors.Is(err, caller.ErrUnreachable) && !errors.Is(err, caller.ErrNoAnswer)) {
			return p, err
		}
		if pause(ctx, stopPoll) != nil {
			return p, err
		}
	}
}

func (c *stopWaitCommand) readOnce(ctx context.Context, client *admin.Client) (stopProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, readingTimeout)
	defer cancel()
	list, now, err := client.Stops(ctx)
	if err != nil {
		return stopProgress{}, err
	}
	for _, s := range list {
		if s.ID == c.Args.ID {
			return c.judge(ctx, client, stopProgress{Stop: s, now: now})
		}
	}
	return stopProgress{}, errs.New("no planned stop %s; it may have been cancelled", c.Args.ID)
}

// judge decides whether the stop is complete. An entry has left when its
// process is no longer among the entries: another one leads then.
func (c *stopWaitCommand) judge(ctx context.Context, client *admin.Client, p stopProgress) (stopProgress, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return p, err
	}
	p.EntriesLeft = coveredEntries(p.Stop.Stop, status)
	agents := p.Covered > 0 || p.Scope == profile.ScopeEntry
	p.Complete = p.Complete && agents && len(p.EntriesLeft) == 0
	if !p.Complete {
		return p, nil
	}
	deadline := time.Now().Add(eventWait)
	for {
		p.ElapsedMs, err = elapsed(ctx, client, p.Stop)
		if err != nil || p.ElapsedMs > 0 || p.Covered == 0 || time.Now().After(deadline) {
			return p, err
		}
		if err := pause(ctx, stopPoll); err != nil {
			return p, err
		}
	}
}

// elapsed returns the time from the plan to the last event of its completion;
// 0 when no process tells.
func elapsed(ctx context.Context, client *admin.Client, s admin.Stop) (int64, error) {
	events, err := client.Timeline(ctx, timeline.Filter{
		Name: definitionName(event.PlannedStopComplete), SinceMs: s.PlacedMs - clockMargin.Milliseconds(),
	})
	last := s.PlacedMs
	for _, r := range events.Records {
		if r.Value("stop") == s.ID {
			last = max(last, r.At.Ms())
		}
	}
	return last - s.PlacedMs, err
}

// print writes one reading.
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
		left += fmt.Sprintf(", entries still taking part: %v", p.EntriesLeft)
	}
	switch {
	case p.Complete && p.ElapsedMs > 0:
		return subject + fmt.Sprintf("complete after %d ms", p.ElapsedMs)
	case p.Complete:
		return subject + "complete"
	case p.Incomplete:
		return subject + "incomplete at the end of its grace: " + left
	case p.Covered == 0 && len(p.EntriesLeft) == 0:
		return subject + "no agent that it covers is known"
	}
	return subject + left
}
