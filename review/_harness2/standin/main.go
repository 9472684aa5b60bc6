// Command standin2 plays the cases 6 to 10 of the review. It is the store, the clients and the
// supervisor of the daemons; an engine that can crash is a process of its own, started from the
// same program.
//
//	standin2 CASE DIR     plays a case and writes DIR/record.txt; the working directory is the repository
//	standin2 engine ...   is an engine
//
// The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the names that the scripts use.
var cases = map[string]func(w *world){
	"cut-answer":   playCutAnswer,
	"encoded-path": playEncodedPath,
	"model-names":  playModelNames,
	"two-holders":  playTwoHolders,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2], cases[os.Args[1]]))
}
