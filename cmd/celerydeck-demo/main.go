// Command celerydeck-demo runs a small deployment on loopback and prints the
// calls to try.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/celerydeck/celerydeck/internal/demo"
)

const startTimeout = 30 * time.Second

const usage = `celerydeck is running: daemons at %[1]s and %[2]s

Ask the advice adapter, streamed:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -H 'Content-Type: application/json' \
    -d '{"model":"advice/blitz@v1","stream":true,"messages":[{"role":"user","content":"Set the clock"}]}'

Ask at once, with an urgent rank, at the other daemon:
  curl http://%[2]s/v1/completions -H 'Authorization: Bearer %[3]s' \
    -H 'X-Celerydeck-Rank: arbiter' -H 'Content-Type: application/json' \
    -d '{"model":"advice/rapid","prompt":"Set the clock","max_tokens":8}'

Book a clock, at most once:
  curl http://%[1]s/services/booking/bookings -H 'Authorization: Bearer %[3]s' \
    -H 'Idempotency-Key: loan-1' -d '{"item":"clock-7"}'

List the adapters:
  curl http://%[1]s/v1/models -H 'Authorization: Bearer %[3]s'

Look at the deployment as an operator, or open http://%[4]s with the key as password:
  export CELERYDECK_CLI_KEY=%[5]s CELERYDECK_CLI_ADDR=%[4]s
  go run ./cmd/celerydeck handover

Stop with Ctrl-C.
`

const keysDirUsage = `The stand-ins are running. Start the daemons, each in a terminal of its own:

  %s

API key of the customer: %s. Stop with Ctrl-C.
`

type settings struct {
	KeysDir string `arg:"--keys-dir" help:"write the keys of the daemons here and print their command lines instead of running them"`
}

// Description returns the first line of the help text.
func (settings) Description() string {
	return "celerydeck-demo runs a small deployment on loopback."
}

func main() {
	var s settings
	arg.MustParse(&s)
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	opts := demo.DefaultOptions()
	opts.KeysDir = s.KeysDir
	opts.AdminPorts = []int{9090, 9091}
	d, err := demo.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer d.Close(context.Background())
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.WaitReady(ready); err != nil {
		return err
	}
	if s.KeysDir != "" {
		fmt.Printf(keysDirUsage, strings.Join(d.Commands, "\n  "), demo.CustomerKey)
	} else {
		fmt.Printf(usage, d.Daemons[0].CallerAddr(), d.Daemons[1].CallerAddr(), demo.CustomerKey,
			d.Daemons[0].AdminAddr(), demo.OperatorKey)
	}
	<-ctx.Done()
	return nil
}
