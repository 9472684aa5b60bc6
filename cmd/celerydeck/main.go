// Command celerydeck is the operators' command line for a deployment of celerydeck.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/term"

	"github.com/celerydeck/celerydeck/internal/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return cli.Run(ctx, cli.Shell{
		Stdin:    os.Stdin,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Environ:  os.Environ(),
		Terminal: term.IsTerminal(int(os.Stdout.Fd())),
		Clock:    time.Now,
	}, os.Args[1:])
}
