// Command review-harness plays one case of review/ against the programs of this repository,
// as separate processes with stand-ins of clients, workers and the platform's store.
//
//	review-harness CASE FOLDER
//
// It writes FOLDER/record.txt. The exit code is 1 if the rule was broken, 0 if it held and 2
// if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(rec *record, root string, trouble bool) (broken bool, err error){
	"orders":  ordersCase,
	"resets":  resetsCase,
	"waiting": waitingCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE FOLDER")
		return 2
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec := &record{start: time.Now(), out: out}
	broken, err := cases[os.Args[1]](rec, root, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.log("the rule was broken")
		return 1
	}
	rec.log("the rule held")
	return 0
}
