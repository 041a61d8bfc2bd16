// Command camphorheadctl is the command-line tool for operators of camphorhead.
// docs/cli.md describes its commands and exit codes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1 // a check failed, a bound was exceeded, or the request failed
	exitUsage       = 2 // invalid arguments, settings or configuration
	exitUnreachable = 3 // no entry can be reached, or a configuration cannot be read
)

// version is set by the linker in releases.
var version = "dev"

// usageError marks invalid arguments that the flags package does not detect.
var usageError = errs.Class("usage")

// errFailed ends a command with exitFailure after it has printed the failure itself.
var errFailed = errors.New("a check failed or a bound was exceeded")

// options are the global flags.
type options struct {
	Entries []string      `long:"entry" env:"CAMPHORHEAD_ENTRY" env-delim:"," default:"http://127.0.0.1:7180" value-name:"URL" description:"entry to use; repeated, the next one is used when one cannot be connected to"`
	Token   string        `long:"token" env:"CAMPHORHEAD_TOKEN" value-name:"TOKEN" description:"bearer token" default-mask:"-"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"time for one command, unless the command says otherwise"`
	Version func()        `long:"version" description:"print the version and exit"`
}

// app holds what all commands share: global flags, context and streams.
type app struct {
	options options
	ctx     context.Context
	in      io.Reader
	out     io.Writer
	errOut  io.Writer
}

// errVersion ends parsing after --version.
var errVersion = errors.New("version was printed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{ctx: ctx, in: in, out: out, errOut: errOut}
	parser, err := a.parser()
	if err != nil {
		fmt.Fprintln(errOut, "camphorheadctl:", err)
		return exitUsage
	}
	_, err = parser.ParseArgs(args)
	return a.exitCode(err)
}

// parser declares all commands.
func (a *app) parser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("camphorheadctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "command-line tool for operators of camphorhead"
	if _, err := parser.AddGroup("Global options", "", &a.options); err != nil {
		return nil, err
	}
	printVersion := false
	a.options.Version = func() { printVersion = true }
	parser.SubcommandsOptional = true
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		switch {
		case printVersion:
			fmt.Fprintln(a.out, "camphorheadctl", buildVersion())
			return errVersion
		case command == nil:
			return usageError.New("a command is required; see --help")
		}
		return command.Execute(args)
	}
	for _, add := range []func(*flags.Command) error{
		a.addRequest, a.addJob, a.addProfile, a.addTeam, a.addStop, a.addEvacuation, a.addStatus, a.addTimeline, a.addExplain, a.addFollow,
		a.addConfig, a.addDemo, a.addBench, a.addCompletion,
	} {
		if err := add(parser.Command); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

// exitCode prints err, unless the command has printed it, and returns its exit code.
func (a *app) exitCode(err error) int {
	var flagError *flags.Error
	switch {
	case err == nil, errors.Is(err, errVersion):
		return exitOK
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, flagError.Message)
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailure
	}
	fmt.Fprintln(a.errOut, "camphorheadctl:", err)
	switch {
	case errors.As(err, &flagError), usageError.Has(err):
		return exitUsage
	case errors.Is(err, caller.ErrUnreachable), errUnreadable.Has(err):
		return exitUnreachable
	}
	return exitFailure
}

// client returns a client of the entries given by --entry. The caller closes it.
func (a *app) client() (*caller.Client, error) {
	c, err := caller.New(a.options.Entries, a.options.Token, caller.DefaultConnections)
	return c, usageError.Wrap(err)
}

// withTimeout returns the app's context with a time limit.
func (a *app) withTimeout(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, limit)
}

func buildVersion() string {
	if version != "dev" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return version
}
