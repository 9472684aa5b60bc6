package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
)

const (
	topUpstreams = 10
	clearScreen  = "\x1b[H\x1b[2J" // escape sequences that move the cursor to the top left and erase the screen
)

// topCmd shows the busiest customers and upstreams.
type topCmd struct {
	Watch time.Duration `arg:"--watch" help:"print again after this time, until the timeout"`
}

// topOutput is the JSON output of top.
type topOutput struct {
	Ranks     []protocol.RankStatus    `json:"ranks"`
	Classes   []protocol.ClassStatus   `json:"classes"`
	Upstreams []protocol.OwnedUpstream `json:"upstreams"`
	Missing   []protocol.MissingDaemon `json:"missing"`
}

func (c *topCmd) run(ctx context.Context, e *env) error {
	for {
		view, err := e.client.Fleet(ctx)
		if err != nil {
			return err
		}
		if err := e.printTop(&view, c.Watch > 0); err != nil {
			return err
		}
		if c.Watch <= 0 {
			if view.Partial() {
				return errPartial
			}
			return nil
		}
		select {
		case <-time.After(c.Watch):
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *env) printTop(view *protocol.FleetView, repeated bool) error {
	out := topOutput{
		Ranks:     report.MergeRanks(view.Daemons),
		Classes:   report.MergeClasses(view.Daemons),
		Upstreams: busiestUpstreams(view),
		Missing:   view.Missing,
	}
	if e.json() {
		return e.printJSON(out)
	}
	if repeated && e.Terminal {
		fmt.Fprint(e.Stdout, clearScreen)
	}
	e.printMissing(out.Missing)
	if err := report.RankTable(e.Stdout, out.Ranks); err != nil {
		return err
	}
	fmt.Fprintln(e.Stdout)
	err := table(e.Stdout, func(t io.Writer) {
		fmt.Fprintln(t, "  CUSTOMER\tSERVICE\tRANK\tREQUESTS\tREFUSED\tFAILED\tFIRST TOKEN")
		for _, c := range out.Classes {
			fmt.Fprintf(t, "  %s\t%s\t%s\t%d\t%d\t%d\t%s\n", c.Customer, c.Service, c.Rank, c.Requests, c.Refused, c.Failed, c.FirstTokenP95)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(e.Stdout)
	return report.UpstreamTable(e.Stdout, out.Upstreams, topUpstreams)
}

// busiestUpstreams returns the upstreams with the most running and queued requests.
func busiestUpstreams(view *protocol.FleetView) []protocol.OwnedUpstream {
	var all []protocol.OwnedUpstream
	for _, d := range view.Daemons {
		all = append(all, d.Upstreams...)
	}
	slices.SortFunc(all, func(a, b protocol.OwnedUpstream) int {
		return cmp.Or(cmp.Compare(b.Running+b.Queued, a.Running+a.Queued), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(len(all), topUpstreams)]
}
