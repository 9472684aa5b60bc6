package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name; the file of each case adds it. A case returns whether the rule was broken.
var cases = make(map[string]func(w *world) (bool, error))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { // no process of the case outlives it
		<-signals
		w.close()
		os.Exit(2)
	}()
	isBroken, err := cases[name](w)
	switch {
	case err != nil:
		w.note("can't run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case isBroken:
		w.note("the rule was broken")
		return 1
	}
	w.note("the rule held")
	return 0
}
