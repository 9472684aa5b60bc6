package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// explainCmd explains the routing of a model, the state of an upstream or, from logs, a single request.
type explainCmd struct {
	Model    string `arg:"positional" help:"service/adapter, service/adapter@version or a plain service"`
	Rank     string `arg:"--rank" help:"rank of the request [default: that of the service]"`
	Upstream string `arg:"--upstream" help:"explain an upstream instead"`
	Edge     string `arg:"--edge" help:"metrics address of a daemon on the users' platform, to ask in place of the operators' API; the model is then model/adapter"`
	// If Request is set, the explanation is read from the files in Logs and no daemon is called.
	Request string   `arg:"--request" help:"explain a request by its id from daemons' logs instead"`
	Logs    []string `arg:"--logs,separate" help:"file with logs of daemons, with --request; - for standard input [default: -]"`
}

func (c *explainCmd) run(ctx context.Context, e *env) error {
	if c.Request != "" {
		return c.traceRequest(e)
	}
	if (c.Model == "") == (c.Upstream == "") {
		return usageError("name a model, --upstream or --request")
	}
	if c.Edge != "" {
		r, err := readEdgeReport(ctx, c.Edge)
		if err != nil {
			return err
		}
		return e.explainEdge(&r, c.Model, c.Upstream)
	}
	x, err := e.client.Explain(ctx, protocol.ExplainQuery{Model: c.Model, Rank: c.Rank, Upstream: state.UpstreamID(c.Upstream)})
	if err != nil {
		return err
	}
	if e.json() {
		err = e.printJSON(x)
	} else {
		err = e.printExplanation(x)
	}
	if err == nil && len(x.Missing) > 0 {
		return errPartial
	}
	return err
}

func (e *env) printExplanation(x protocol.Explanation) error {
	if len(x.Missing) > 0 {
		fmt.Fprintln(e.Stdout, e.colorize(colorRed, "PARTIAL: did not answer: "+strings.Join(x.Missing, ", ")))
	}
	fmt.Fprintf(e.Stdout, "%s, seen from %s\n", x.Subject, x.Daemon)
	for _, fact := range x.Facts {
		fmt.Fprintf(e.Stdout, "  %s\n", fact)
	}
	for _, c := range x.Conditions {
		fmt.Fprintf(e.Stdout, "  %s %s: %s: %s\n", e.colorize(severityColor(c.Severity), "["+string(c.Severity)+"]"), c.Kind, c.Subject, c.Detail)
	}
	if len(x.Candidates) == 0 {
		return nil
	}
	return table(e.Stdout, func(t io.Writer) {
		fmt.Fprintln(t, "UPSTREAM\tZONE\tOWNER\tLOADED\tRUNNING\tQUEUED\tWHY")
		for _, c := range x.Candidates {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", c.Upstream, c.Zone, c.Owner, yesOrNo(c.Resident), c.Running, c.Queued, c.Reason)
		}
	})
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
