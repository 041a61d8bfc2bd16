package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"camphorhead.example/camphorheadctl/story"
)

// explainCommand prints the log lines about one request or job.
type explainCommand struct {
	app *app

	Logs string `long:"logs" value-name:"PATH" default:"-" description:"file or folder of logs in JSON, or - for stdin"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes" description:"id of a request or a job"`
	} `positional-args:"yes"`
}

func (a *app) addExplain(parent *flags.Command) error {
	_, err := parent.AddCommand("explain", "show from logs what happened to a request or a job",
		"Merges the logs of several processes and prints the lines about one request or job, with the events of the processes involved that may explain a delay or a loss.",
		&explainCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	lines, unreadable, err := readLogs(c.app.in, c.Logs)
	if err != nil {
		return err
	}
	related := story.Select(lines, c.Args.ID)
	if unreadable > 0 {
		fmt.Fprintf(c.app.errOut, "camphorheadctl: %d lines could not be read\n", unreadable)
	}
	if len(related) == 0 {
		return fmt.Errorf("no log line refers to %q", c.Args.ID)
	}
	if c.app.options.JSON {
		return json.NewEncoder(c.app.out).Encode(related)
	}
	for _, l := range related {
		fmt.Fprintf(c.app.out, "%8.3f  %-24s %s%s\n", l.At.Sub(related[0].At).Seconds(), l.Process, l.Message, formatLogFields(l))
	}
	return nil
}

func formatLogFields(l story.Line) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; value != "" {
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	return text.String()
}

// readLogs reads a log file, all files of a folder, or in if path is "-".
func readLogs(in io.Reader, path string) (lines []story.Line, unreadable int, err error) {
	if path == "-" {
		return story.Read(in)
	}
	files := []string{path}
	if info, err := os.Stat(path); err != nil {
		return nil, 0, usageError.Wrap(err)
	} else if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return nil, 0, usageError.Wrap(err)
		}
	}
	for _, file := range files {
		more, bad, err := readLog(file)
		if err != nil {
			return nil, 0, err
		}
		lines, unreadable = append(lines, more...), unreadable+bad
	}
	return lines, unreadable, nil
}

func readLog(path string) (lines []story.Line, unreadable int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func(closer io.Closer) { _ = closer.Close() }(file) // nothing was written to it
	return story.Read(file)
}
