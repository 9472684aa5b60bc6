package app

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"
)

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Main runs the daemon until a signal and returns its exit code. A second signal ends
// the wait for requests in flight.
func Main(args []string) int {
	settings, err := ParseSettings(args, os.Environ())
	if errors.Is(err, arg.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	identity, err := settings.Identity()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if settings.CheckSettings {
		fmt.Println("settings are valid")
		return ExitOK
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	daemon, err := Start(context.Background(), settings, identity)
	if err != nil {
		klog.ErrorS(err, "Daemon did not start")
		return ExitFailed
	}
	klog.InfoS("Daemon started", "daemon", settings.ID, "zone", settings.Zone, "callers", daemon.CallerAddr())
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := daemon.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Daemon stopped before all requests ended")
		return ExitFailed
	}
	klog.InfoS("Daemon stopped", "daemon", settings.ID)
	return ExitOK
}
