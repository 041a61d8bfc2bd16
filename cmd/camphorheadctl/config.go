package main

import (
	"context"
	"errors"
	"maps"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/check"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/camphorheadctl/admin"
	"camphorhead.example/camphorheadctl/configfile"
)

// configCheckCommand checks a configuration and settings files without sending or starting anything.
type configCheckCommand struct {
	app     *app
	command *flags.Command

	Against  string   `long:"against" value-name:"FILE|DIR" description:"version in force, in any form of FILE; shows what differs"`
	Settings []string `long:"settings" value-name:"FILE" description:"settings file of a process (TOML); repeatable"`
	Args     struct {
		Path string `positional-arg-name:"FILE|DIR" description:"configuration, or a settings file"`
	} `positional-args:"yes"`
}

func (a *app) addConfig(parent *flags.Command) error {
	group, err := parent.AddCommand("config", "check configurations and settings files", "Checks configurations and settings files.", &struct{}{})
	if err != nil {
		return err
	}
	c := &configCheckCommand{app: a}
	c.command, err = group.AddCommand("check", "check a configuration before it is sent",
		"Prints errors in a configuration or a settings file, entries of the configuration that can never match, limits that contradict each other, "+
			"and what differs from the version in force: that of --against, or that of the entry if --entry is given. Nothing is sent. "+
			"Exit code 0: no findings, 1: only warnings, 2: errors, 3: a file or the version in force cannot be read.", c)
	return err
}

// errUnreadable marks a file or a version in force that cannot be read.
var errUnreadable = errs.Class("cannot be read")

// finding is the JSON form of an error or a warning. Kind and Name are those of the entry of the
// configuration, if it concerns one.
type finding struct {
	File    string     `json:"file"`
	Line    int        `json:"line"`
	Column  int        `json:"column"`
	Key     string     `json:"key"`
	Kind    check.Kind `json:"kind,omitempty"`
	Name    string     `json:"name,omitempty"`
	Message string     `json:"message"`
}

// checkResult is the JSON output. Its lists are never nil, so that they encode as lists. Changes is
// empty if no version in force is given.
type checkResult struct {
	OK       bool           `json:"ok"` // no errors
	Errors   []finding      `json:"errors"`
	Warnings []finding      `json:"warnings"`
	Changes  []check.Change `json:"changes"`
	// Faults repeats Errors under the name that earlier versions used for a settings file given as
	// FILE; nil for anything else.
	Faults *[]finding `json:"faults,omitempty"`
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute([]string) error {
	if c.Args.Path == "" && (len(c.Settings) == 0 || c.Against != "") {
		return usageError.New("a FILE or --settings FILE is required; --against needs a FILE")
	}
	withEntry := c.givesEntry()
	if withEntry && c.Against != "" {
		return usageError.New("--against and --entry exclude each other")
	}
	r := checkResult{Errors: []finding{}, Warnings: []finding{}, Changes: []check.Change{}}
	unreadable := c.run(&r, withEntry)
	if usageError.Has(unreadable) {
		return unreadable
	}
	r.OK = len(r.Errors) == 0 && unreadable == nil
	if err := c.print(r, unreadable == nil); err != nil {
		return err
	}
	switch {
	case unreadable != nil:
		return unreadable
	case len(r.Errors) > 0:
		return usageError.New("%d errors in %s", len(r.Errors), c.subject())
	case len(r.Warnings) > 0:
		return errFailed
	}
	return nil
}

// givesEntry reports whether --entry is among the arguments. Its default and the environment do not
// count, so that a check of files needs no entry.
func (c *configCheckCommand) givesEntry() bool {
	option := c.command.FindOptionByLongName("entry")
	return option != nil && option.IsSet() && !option.IsSetDefault()
}

func (c *configCheckCommand) subject() string {
	if c.Args.Path != "" {
		return c.Args.Path
	}
	return c.Settings[0]
}

// run adds all findings to r. The error is an errUnreadable; what could be read is checked.
func (c *configCheckCommand) run(r *checkResult, withEntry bool) error {
	var failed errs.Group
	for _, file := range c.Settings {
		failed.Add(r.addSettings(file))
	}
	if c.Args.Path != "" {
		failed.Add(c.checkPath(r, withEntry))
	}
	return failed.Err()
}

func (c *configCheckCommand) checkPath(r *checkResult, withEntry bool) error {
	config, err := configfile.Load(c.Args.Path)
	if err != nil {
		return errUnreadable.Wrap(err)
	}
	var failed errs.Group
	for _, file := range config.Settings {
		failed.Add(r.addSettings(file))
	}
	if !config.HasEntries() {
		r.Faults = &r.Errors
		return failed.Err()
	}
	in := check.Input{Proposed: config.Document, Form: config.Form}
	var inForceErr error
	switch {
	case c.Against != "":
		in.InForce, inForceErr = documentInForce(c.Against)
	case withEntry:
		in.InForce, in.Capacity, inForceErr = c.askEntry(config.Document)
	}
	failed.Add(inForceErr)
	r.addConfig(config, check.Run(in))
	return failed.Err()
}

// addSettings adds the errors of a settings file.
func (r *checkResult) addSettings(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errUnreadable.Wrap(err)
	}
	var found settings.Errors
	if _, err = settings.Parse(file, data); err != nil && !errors.As(err, &found) {
		return errs.Wrap(err)
	}
	for _, e := range found {
		r.Errors = append(r.Errors, newFinding(e, check.Item{}))
	}
	return nil
}

// addConfig adds the findings about a configuration. If a file could not be decoded, its entries
// are missing, so that neither the warnings nor the changes would be right.
func (r *checkResult) addConfig(config *configfile.Config, result check.Result) {
	for _, e := range config.Errors {
		r.Errors = append(r.Errors, newFinding(e, check.Item{}))
	}
	for _, e := range config.Warnings {
		r.Warnings = append(r.Warnings, newFinding(e, check.Item{}))
	}
	for _, f := range result.Errors {
		r.Errors = append(r.Errors, newFinding(config.Locate(f), f.Item))
	}
	if config.Complete {
		for _, f := range result.Warnings {
			r.Warnings = append(r.Warnings, newFinding(config.Locate(f), f.Item))
		}
		r.Changes = append(r.Changes, result.Changes...)
	}
	sortFindings(r.Errors)
	sortFindings(r.Warnings)
}

// documentInForce reads a version in force from files. Its entries need not be valid.
func documentInForce(path string) (*profile.Document, error) {
	config, err := configfile.Load(path)
	if err != nil {
		return nil, errUnreadable.Wrap(err)
	}
	if !config.Complete {
		return nil, errUnreadable.Wrap(config.Errors)
	}
	return config.Document, nil
}

// askEntry reads the version in force and the capacity of the workers from an entry. An entry does
// not serve the services and the limits of a document; those of the proposed one stand for them.
func (c *configCheckCommand) askEntry(proposed *profile.Document) (*profile.Document, resources.Resources, error) {
	ctx, cancel := c.app.withTimeout(c.app.options.Timeout)
	defer cancel()
	client, err := admin.New(c.app.options.Entries, c.app.options.Token)
	if err != nil {
		return nil, resources.Resources{}, usageError.Wrap(err)
	}
	defer client.Close()
	doc, capacity, err := readInForce(ctx, client)
	if err != nil {
		return nil, resources.Resources{}, errUnreadable.Wrap(err)
	}
	doc.Services, doc.MaxBodyBytes = maps.Clone(proposed.Services), proposed.MaxBodyBytes
	return doc, capacity, nil
}

func readInForce(ctx context.Context, client *admin.Client) (*profile.Document, resources.Resources, error) {
	doc, capacity := profile.Empty(), resources.Resources{}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, capacity, err
	}
	doc.Version = status.ConfigVersion
	for _, a := range status.Agents {
		capacity = capacity.Add(a.Capacity)
	}
	profiles, err := client.Profiles(ctx)
	if err != nil {
		return nil, capacity, err
	}
	for _, p := range profiles {
		doc.Profiles[p.Name] = p
	}
	teams, err := client.Teams(ctx)
	if err != nil {
		return nil, capacity, err
	}
	for _, t := range teams {
		doc.Teams[t.Name] = t
	}
	stops, _, err := client.Stops(ctx)
	for _, s := range stops {
		doc.Stops[s.ID] = s.Stop
	}
	return doc, capacity, err
}
