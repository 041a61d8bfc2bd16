package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

// bashCompletion runs the program itself for completions: with GO_FLAGS_COMPLETION
// set, the flags package prints them.
const bashCompletion = `_camphorheadctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _camphorheadctl camphorheadctl
`

// completionCommand prints the completion script of a shell.
type completionCommand struct {
	app *app

	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash"`
	} `positional-args:"yes" required:"yes"`
}

func (a *app) addCompletion(parent *flags.Command) error {
	_, err := parent.AddCommand("completion", "print a completion script",
		"Prints a completion script for a shell to source: source <(camphorheadctl completion bash)", &completionCommand{app: a})
	return err
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	if c.Args.Shell != "bash" {
		return usageError.New("no completion script for shell %q; only bash is supported", c.Args.Shell)
	}
	_, err := fmt.Fprint(c.app.out, bashCompletion)
	return err
}
