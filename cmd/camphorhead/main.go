// Command camphorhead runs one process of the scheduler: an entry or an agent, as
// configured in its settings file.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// version is set by the linker in releases.
var version = "dev"

// settingsEnv is the environment variable that --settings defaults to.
const settingsEnv = "CAMPHORHEAD_NODE_FILE"

type options struct {
	Settings string        `short:"s" long:"settings" env:"CAMPHORHEAD_NODE_FILE" description:"settings file (TOML)" value-name:"FILE"`
	Grace    time.Duration `long:"grace" default:"30s" description:"time for requests in progress when the process is told to stop"`
	CancelMs int64         `long:"cancel-ms" description:"replaces lease.cancel_ms of an entry, in milliseconds; 0: the one in the settings file" value-name:"MS"`
	Version  bool          `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.ShortDescription = "run one process of the camphorhead scheduler"
	if _, err := parser.ParseArgs(args); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	if opts.Version {
		fmt.Println("camphorhead", buildVersion())
		return exitOK
	}
	if opts.Settings == "" {
		fmt.Fprintln(os.Stderr, "camphorhead: --settings or "+settingsEnv+" is required")
		return exitSettings
	}
	cfg, err := settings.Load(opts.Settings)
	if err == nil && opts.CancelMs != 0 {
		cfg.Lease.CancelMs = opts.CancelMs
		err = cfg.Validate()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "camphorhead:", err)
		return exitSettings
	}
	return serve(cfg, opts)
}

// role is an entry or agent. Stop waits for requests in progress until ctx ends.
type role interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

func serve(cfg settings.Settings, opts options) int {
	sink, log, err := openLog(os.Stdout, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "camphorhead:", err)
		return exitSettings
	}
	defer sink.Close()
	p := cfg.Process
	log.Emit(event.ProcessStarting, "version", buildVersion(), "file", opts.Settings)
	setMemoryLimit(cfg, log)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	process := newRole(cfg, log, sink.DroppedByEvent)
	if err := process.Start(ctx); err != nil {
		log.Emit(event.ListenFailed, "address", p.Listen, "error", err)
		return exitFailure
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-reload:
			log.Emit(event.SettingsReloaded, "file", opts.Settings)
		}
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), opts.Grace)
	defer cancel()
	if err := process.Stop(stopCtx); err != nil {
		log.Emit(event.InternalError, "component", "stop", "error", err)
		return exitFailure
	}
	return exitOK
}

// memoryShare is the share of limits.memory_mb that becomes the runtime's soft memory
// limit; the rest covers memory that the runtime does not count.
const memoryShare = 0.6

// setMemoryLimit makes the runtime collect garbage more often as its memory
// approaches limits.memory_mb; 0 sets no limit.
func setMemoryLimit(cfg settings.Settings, log event.Logger) {
	if cfg.Limits.MemoryMB == 0 {
		return
	}
	bound := int64(memoryShare * float64(cfg.Limits.MemoryMB<<20))
	debug.SetMemoryLimit(bound)
	log.Emit(event.MemoryBound, "bytes", bound)
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
