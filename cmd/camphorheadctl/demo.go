package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/mattn/go-isatty"

	"camphorhead.example/bench/demo"
	"camphorhead.example/camphorhead/process/event"
)

// demoCommand runs a deployment in this process, with stand-ins for the platform.
type demoCommand struct {
	app *app

	Deployment  string        `long:"deployment" default:"laque" choice:"laque" choice:"umhlaba" description:"which customer's topology and delays"`
	For         time.Duration `long:"for" default:"10s" description:"time of load"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of all random choices"`
	Entries     int           `long:"entries-per-region" default:"1" description:"entries in each region"`
	Load        float64       `long:"load" default:"0.5" description:"checks sent, as a share of the service's capacity"`
	ServiceTime time.Duration `long:"service-time" default:"20ms" description:"mean service time of a check"`
	ProofRate   float64       `long:"proofs" default:"8" description:"proofs a second"`
	Watches     int           `long:"watches" default:"10" description:"watches started during the run, on average"`
	Keep        bool          `long:"keep" description:"send no load, print the entries' URLs and run until interrupted"`
	Progress    bool          `long:"progress" description:"print a progress line each second even if stderr is no terminal"`
	LogLevel    string        `long:"log" choice:"debug" choice:"info" choice:"error" description:"write the log of all processes to stderr"`
}

func (a *app) addDemo(parent *flags.Command) error {
	_, err := parent.AddCommand("demo", "run a deployment in this process and check it",
		"Runs entries, agents and stand-ins for the platform in one process, with the network delays between the sites, puts load on them and checks the records of the stand-ins. Exit code 1 if work was lost or run twice, a worker was overcommitted or a response was wrong.",
		&demoCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute(args []string) error {
	config, err := c.config(args)
	if err != nil {
		return err
	}
	if c.Keep {
		return demo.Keep(c.app.ctx, config, c.printDeployment)
	}
	summary, err := demo.Run(c.app.ctx, config)
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		err = c.app.printJSON(summary)
	} else {
		err = summary.WriteTable(c.app.out)
	}
	if err == nil && !summary.Clean() {
		return errFailed
	}
	return err
}

func (c *demoCommand) config(args []string) (demo.Config, error) {
	switch {
	case len(args) > 0:
		return demo.Config{}, usageError.New("demo takes no argument %q", args[0])
	case c.For <= 0 || c.ServiceTime < time.Millisecond || c.Load <= 0 || c.Entries < 1 || c.ProofRate <= 0 || c.Watches < 0:
		return demo.Config{}, usageError.New("--for, --load, --proofs and --entries-per-region must be above 0, --service-time at least 1ms, --watches not negative")
	}
	config := demo.Config{
		Deployment: c.Deployment, Duration: c.For, Seed: c.Seed, EntriesPerRegion: c.Entries,
		Load: c.Load, ServiceTime: c.ServiceTime, ProofRate: c.ProofRate, Watches: c.Watches,
	}
	if c.Progress || isatty.IsTerminal(os.Stderr.Fd()) {
		config.Progress = c.printProgress
	}
	if c.LogLevel == "" {
		return config, nil
	}
	var err error
	config.Log, err = event.New(c.app.errOut, "human", c.LogLevel)
	return config, err
}

// printDeployment prints the entries of a running deployment and commands to try.
func (c *demoCommand) printDeployment(k demo.KeptDeployment) error {
	if c.app.options.JSON {
		return c.app.printJSON(k)
	}
	fmt.Fprintf(c.app.out, "deployment %s serves until it is interrupted (Ctrl-C); entries:\n", k.Deployment)
	urls := make([]string, 0, len(k.Entries))
	for _, e := range k.Entries {
		urls = append(urls, e.URL)
		fmt.Fprintf(c.app.out, "  %s in %s: %s\n", e.ID, e.Region, e.URL)
	}
	program := programName(os.Args[0])
	fmt.Fprintf(c.app.out, `
In another terminal, in the folder of the repository:

  export CAMPHORHEAD_ENTRY=%s
  %[2]s request --profile %[3]s --franchisee %[4]s --idempotent "a colour"
  %[2]s profile diff examples/profiles/%[5]s/%[3]s.toml
  %[2]s profile apply examples/profiles/%[5]s/%[3]s.toml --wait
  %[2]s profile history %[3]s
  %[2]s status
  %[2]s timeline --since 1m --html timeline.html
`, strings.Join(urls, ","), program, k.Profiles[0], k.Franchisee, k.Deployment)
	return nil
}

// programName returns the command that starts this program again: the path it was
// started with, or "go run", which removes its binary at the end.
func programName(path string) string {
	if strings.Contains(path, "go-build") {
		return "go run ./cmd/camphorheadctl"
	}
	return path
}

// printProgress prints one line; the demo calls it once per second.
func (c *demoCommand) printProgress(p demo.Progress) {
	fmt.Fprintf(c.app.errOut, "%-6s %3.0f s  checks %d ok %d late %d refused %d failed, p50 %s p99 %s; charges %d ok; proofs %d/%d done; watches %d/%d running\n",
		p.Phase, p.Elapsed.Seconds(), p.Checks.OK, p.Checks.Late, p.Checks.Refused, p.Checks.Failed,
		p.Checks.P50.Round(100*time.Microsecond), p.Checks.P99.Round(100*time.Microsecond),
		p.Charges.OK, p.ProofsDone, p.Jobs.ProofsAccepted, p.WatchesRunning, p.Jobs.WatchesAccepted)
}
