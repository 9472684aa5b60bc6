package cli

import (
	"context"
	"fmt"
	"io"
	"math"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
)

// statusCmd shows daemons, availability zones and upstreams.
type statusCmd struct {
	Upstreams bool   `arg:"--upstreams" help:"list all upstreams"`
	Edge      string `arg:"--edge" help:"metrics address of a daemon on the users' platform, to ask in place of the operators' API"`
}

func (c *statusCmd) run(ctx context.Context, e *env) error {
	if c.Edge != "" {
		r, err := readEdgeReport(ctx, c.Edge)
		if err != nil {
			return err
		}
		return e.printEdge(&r, false)
	}
	view, err := e.client.Fleet(ctx)
	if err != nil {
		return err
	}
	if e.json() {
		err = e.printJSON(view)
	} else {
		err = c.print(e, &view)
	}
	if err == nil && view.Partial() {
		return errPartial
	}
	return err
}

func (c *statusCmd) print(e *env, view *protocol.FleetView) error {
	h := report.Build(report.Input{Fleet: *view, Since: view.At})
	e.printMissing(view.Missing)
	err := table(e.Stdout, func(t io.Writer) {
		fmt.Fprintln(t, "DAEMON\tZONE\tREVISION\tUPSTREAMS\tRUNNING\tQUEUED\tSTATE")
		for _, d := range h.Daemons {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", d.Daemon, d.Zone, d.Revision, d.Upstreams, d.Running, d.Queued, daemonState(d))
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(e.Stdout)
	if err := report.ZoneTable(e.Stdout, h.Zones); err != nil {
		return err
	}
	if c.Upstreams {
		fmt.Fprintln(e.Stdout)
		if err := report.UpstreamTable(e.Stdout, h.Upstreams, math.MaxInt32); err != nil {
			return err
		}
	}
	fmt.Fprintln(e.Stdout)
	e.printGroups(h.NeedsYou)
	return nil
}

func daemonState(d report.DaemonSummary) string {
	if d.Draining {
		return "draining"
	}
	return "serving"
}

// printMissing lists the daemons that did not answer.
func (e *env) printMissing(missing []protocol.MissingDaemon) {
	for _, m := range missing {
		fmt.Fprintln(e.Stdout, e.colorize(colorRed, fmt.Sprintf("PARTIAL: %s in %s did not answer: %s", m.Daemon, m.Zone, m.Reason)))
	}
}

// printGroups prints the conditions that need an operator, with advice.
func (e *env) printGroups(groups []report.Group) {
	if len(groups) == 0 {
		fmt.Fprintln(e.Stdout, "nothing needs you now")
		return
	}
	for _, g := range groups {
		fmt.Fprintf(e.Stdout, "%s %s (%d): %s\n", e.colorize(severityColor(g.Severity), "["+string(g.Severity)+"]"), g.Kind, g.Count, g.Advice)
		for _, c := range g.Conditions {
			fmt.Fprintf(e.Stdout, "    %s: %s\n", c.Subject, c.Detail)
		}
	}
}
