// Command decksoak runs daemons as separate processes under random faults and checks
// their guarantees. A seed determines the faults, so that a run can be repeated.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/celerydeck/celerydeck/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(soak.Main(ctx, os.Args[1:], os.Stdout))
}
