package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorheadctl/admin"
	"camphorhead.example/camphorheadctl/picture"
)

// timelineCommand prints the merged events of all processes.
type timelineCommand struct {
	app *app

	Request    string `long:"request" value-name:"ID" description:"events of one request"`
	Job        string `long:"job" value-name:"ID" description:"events of one job"`
	Agent      string `long:"agent" value-name:"ID" description:"events that name one agent"`
	Franchisee string `long:"franchisee" value-name:"NAME" description:"events that name one franchisee"`
	Name       string `long:"name" value-name:"PREFIX" description:"events whose name begins so, such as job_ or planned_stop"`
	Since      string `long:"since" value-name:"WHEN" description:"start: time ago such as 5m, or a time such as 2026-01-31T12:00:00Z"`
	Until      string `long:"until" value-name:"WHEN" description:"end, like --since"`
	Limit      int    `long:"limit" value-name:"N" description:"latest events that are shown (2000 unless given, at most 8192)"`
	HTML       string `long:"html" value-name:"FILE" description:"write a page with a picture of the events to FILE"`
}

func (a *app) addTimeline(parent *flags.Command) error {
	_, err := parent.AddCommand("timeline", "show the events of all processes",
		"Shows the events of all processes merged in one order: causes come before their effects.", &timelineCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	filter, err := c.filter(time.Now())
	if err != nil {
		return err
	}
	return c.app.callAdmin(func(ctx context.Context, client *admin.Client) error {
		events, err := client.Timeline(ctx, filter)
		if err != nil {
			return err
		}
		if c.HTML != "" {
			if err := c.writeHTML(events); err != nil {
				return err
			}
		}
		return c.print(events)
	})
}

func (c *timelineCommand) filter(now time.Time) (timeline.Filter, error) {
	f := timeline.Filter{
		Request: c.Request, Job: c.Job, Agent: c.Agent, Franchisee: c.Franchisee, Name: c.Name, Limit: c.Limit,
	}
	if c.Limit < 0 || c.Limit > timeline.DefaultLength {
		return f, usageError.New("--limit must be 0 to %d", timeline.DefaultLength)
	}
	var err error
	if f.SinceMs, err = parseTime("--since", c.Since, now); err != nil {
		return f, err
	}
	f.UntilMs, err = parseTime("--until", c.Until, now)
	return f, err
}

// parseTime returns a duration before now or an RFC 3339 time as unix milliseconds; 0 if
// text is empty.
func parseTime(option, text string, now time.Time) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return now.Add(-ago).UnixMilli(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, usageError.New("%s %q: must be a duration before now such as 5m, or a time such as 2026-01-31T12:00:00Z", option, text)
	}
	return at.UnixMilli(), nil
}

func (c *timelineCommand) print(events admin.Timeline) error {
	if c.app.options.JSON {
		return c.app.printJSON(events)
	}
	t := newTable(c.app.out, "TIME", "+MS", "PROCESS", "EVENT", "FIELDS")
	for _, r := range events.Records {
		t.row(timeOfDay(r.At.Ms()), r.At.Ms()-events.Records[0].At.Ms(), r.Process, r.Name, formatFields(r))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if len(events.Missing) > 0 {
		fmt.Fprintln(c.app.errOut, "camphorheadctl: no response from", strings.Join(events.Missing, ", "))
	}
	return nil
}

func formatFields(r timeline.Record) string {
	texts := make([]string, 0, len(r.Fields))
	for _, f := range r.Fields {
		texts = append(texts, f.Name+"="+f.Value)
	}
	return strings.Join(texts, " ")
}

func (c *timelineCommand) writeHTML(events admin.Timeline) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return errs.Wrap(err)
	}
	err = picture.Write(file, picture.Page{Title: c.title(), Records: events.Records, Missing: events.Missing})
	return errs.Combine(err, errs.Wrap(file.Close()))
}

func (c *timelineCommand) title() string {
	var parts []string
	for _, f := range []struct{ name, value string }{
		{"request", c.Request},
		{"job", c.Job},
		{"agent", c.Agent},
		{"franchisee", c.Franchisee},
		{"events", c.Name},
	} {
		if f.value != "" {
			parts = append(parts, f.name+" "+f.value)
		}
	}
	if len(parts) == 0 {
		return "All events"
	}
	title := strings.Join(parts, ", ")
	return strings.ToUpper(title[:1]) + title[1:]
}
