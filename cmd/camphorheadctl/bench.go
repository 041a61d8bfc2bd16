package main

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"camphorhead.example/bench/faults"
	"camphorhead.example/bench/scenario"
	"camphorhead.example/bench/slopes"
)

type (
	benchListCommand     struct{ app *app }
	benchScenarioCommand struct {
		app    *app
		name   string
		Policy string        `long:"policy" choice:"default" choice:"naive" choice:"partitioned" description:"run only this policy"`
		Seed   uint64        `long:"seed" default:"1" description:"seed of the first round"`
		For    time.Duration `long:"for" description:"bound of the measured time; by default the scenario's own"`
		Plot   string        `long:"plot" value-name:"FILE" description:"write a figure to an SVG or PNG file"`
	}
	benchSlopesCommand struct {
		app    *app
		Seed   uint64        `long:"seed" default:"1" description:"seed of all random choices"`
		Window time.Duration `long:"window" default:"10s" description:"time of each measurement"`
	}
	benchFaultsCommand struct {
		app       *app
		Seed      uint64        `long:"seed" default:"1" description:"seed of the first schedule; the next ones count up"`
		For       time.Duration `long:"for" description:"bound of the run; no schedule is begun that would take longer"`
		Schedules int           `long:"schedules" default:"10" value-name:"K" description:"number of schedules"`
	}
)

func (a *app) addBench(parent *flags.Command) error {
	commands := []subcommand{
		{"list", "list the scenarios", "Lists the scenarios with their targets.", &benchListCommand{app: a}},
		{
			"slopes", "measure how costs grow with deployment size",
			"Measures how processor time, memory, messages and store calls grow with the size of a deployment.", &benchSlopesCommand{app: a},
		},
		{
			"faults", "check the invariants under injected faults",
			"Runs schedules of injected faults and checks the invariants. Exit code 1 if one is violated or was never checked.", &benchFaultsCommand{app: a},
		},
	}
	for _, d := range scenario.List() {
		commands = append(commands, subcommand{
			d.Name, d.Summary, d.Summary + " Exit code 1 if a target is not met or none could be evaluated.", &benchScenarioCommand{app: a, name: d.Name},
		})
	}
	return addGroup(parent, "bench", "measure and check camphorhead with stand-ins",
		"Measures and checks camphorhead with stand-ins for the platform. Progress goes to stderr; with --json the last line of stdout is one JSON object.", commands)
}

// Execute implements flags.Commander.
func (c *benchListCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	list := scenario.List()
	if c.app.options.JSON {
		return c.app.printJSON(list)
	}
	for _, d := range list {
		fmt.Fprintf(c.app.out, "%s: %s\n  scale: %s\n  policies: %v\n", d.Name, d.Summary, d.Scale, d.Policies)
		for _, t := range d.Targets {
			fmt.Fprintln(c.app.out, "  target:", t)
		}
	}
	return nil
}

// Execute implements flags.Commander.
func (c *benchScenarioCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.For < 0 {
		return usageError.New("--for must not be negative")
	}
	result, err := scenario.Run(c.app.ctx, scenario.Options{
		Scenario: c.name, Policy: scenario.Policy(c.Policy), Seed: c.Seed, For: c.For, Plot: c.Plot, Progress: c.app.errOut,
	})
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		err = c.app.printJSON(result)
	} else {
		err = c.app.printScenario(result)
	}
	if err == nil && (!result.Met() || len(result.Targets) == 0) {
		return errFailed
	}
	return err
}

func (a *app) printScenario(r scenario.Result) error {
	t := newTable(a.out, "POLICY", "FIGURE", "MEDIAN", "LOW", "HIGH", "UNIT")
	for _, p := range r.Policies {
		for _, f := range p.Figures {
			t.row(p.Policy, f.Name, formatFloat(f.Median), formatFloat(f.Low), formatFloat(f.High), f.Unit)
		}
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(a.out)
	t = newTable(a.out, "TARGET", "BOUND", "MEASURED", "LOW", "HIGH", "UNIT", "MET")
	for _, target := range r.Targets {
		t.row(target.Name, fmt.Sprintf("%s %s", target.Relation, formatFloat(target.Bound)),
			formatFloat(target.Measured), formatFloat(target.Low), formatFloat(target.High), target.Unit, yesNo(target.Met))
	}
	return t.flush()
}

func formatFloat(v float64) string { return fmt.Sprintf("%.4g", v) }

// Execute implements flags.Commander.
func (c *benchSlopesCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Window <= 0 {
		return usageError.New("--window must be above 0")
	}
	result, err := slopes.Run(c.app.ctx, slopes.Options{Seed: c.Seed, Window: c.Window, Progress: c.app.errOut})
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		return c.app.printJSON(result)
	}
	t := newTable(c.app.out, "SLOPE", "BASE", "GROWTH", "UNIT", "PER", "R2")
	for _, s := range result.Slopes {
		t.row(s.Name, formatFloat(s.Base), formatFloat(s.Slope), s.Unit, s.Per, formatFloat(s.R2))
	}
	return t.flush()
}

// Execute implements flags.Commander.
func (c *benchFaultsCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.For < 0 || c.Schedules < 1 {
		return usageError.New("--for must not be negative, --schedules must be at least 1")
	}
	result, failed := faults.Run(c.app.ctx, faults.Options{
		Seed: c.Seed, For: c.For, Schedules: c.Schedules, Progress: c.app.errOut,
	})
	err := c.app.printFaults(result)
	if failed != nil || err != nil {
		return errs.Combine(failed, err)
	}
	if !result.Passed() {
		return errFailed
	}
	return nil
}

func (a *app) printFaults(r faults.Result) error {
	if a.options.JSON {
		return a.printJSON(r)
	}
	t := newTable(a.out, "PROPERTY", "CHECKED", "VIOLATED")
	for _, p := range r.Properties {
		t.row(p.Name, p.Checked, p.Violated)
	}
	if err := t.flush(); err != nil {
		return err
	}
	for _, v := range r.Violations {
		fmt.Fprintf(a.out, "seed %d: %s: %s\n", v.Seed, clean(v.Property), clean(v.Detail))
	}
	return nil
}
