package main

import (
	"encoding/json"
	"fmt"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorheadctl/story"
)

// followCommand prints the outcome of every accepted job.
type followCommand struct {
	app *app

	Logs string `long:"logs" value-name:"PATH" default:"-" description:"file or folder of logs in JSON, or - for stdin"`
}

func (a *app) addFollow(parent *flags.Command) error {
	_, err := parent.AddCommand("follow", "show from logs the outcome of every accepted job",
		"Counts the accepted jobs by outcome and lists those that are waiting, lost or unfinished. Exit code 1 if a job is lost or unfinished.",
		&followCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *followCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	lines, unreadable, err := readLogs(c.app.in, c.Logs)
	if err != nil {
		return err
	}
	if unreadable > 0 {
		fmt.Fprintf(c.app.errOut, "camphorheadctl: %d lines could not be read\n", unreadable)
	}
	jobs := story.Follow(lines)
	if c.app.options.JSON {
		if err := json.NewEncoder(c.app.out).Encode(jobs); err != nil {
			return err
		}
	} else {
		c.print(jobs)
	}
	unresolved := 0
	for _, j := range jobs {
		if j.Outcome == story.Lost || j.Outcome == story.Unfinished {
			unresolved++
		}
	}
	if unresolved > 0 {
		return fmt.Errorf("%d of %d accepted jobs are lost or unfinished", unresolved, len(jobs))
	}
	return nil
}

func (c *followCommand) print(jobs []story.FollowedJob) {
	counts := map[story.Outcome]int{}
	for _, j := range jobs {
		counts[j.Outcome]++
	}
	for _, outcome := range story.Outcomes() {
		fmt.Fprintf(c.app.out, "%-10s %d\n", outcome, counts[outcome])
	}
	for _, j := range jobs {
		if j.Outcome == story.Waiting || j.Outcome == story.Lost || j.Outcome == story.Unfinished {
			fmt.Fprintf(c.app.out, "%s %s accepted=%s runs=%d last=%s\n", j.Job, j.Outcome, j.Accepted.Format("15:04:05.000"), j.Runs, j.Last)
		}
	}
}
