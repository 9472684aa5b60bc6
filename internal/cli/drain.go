package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// drainPollInterval is the time between queries of the fleet while waitDrained waits.
const drainPollInterval = 500 * time.Millisecond

// drainCmd starts, ends or lists drains.
type drainCmd struct {
	Kind    string `arg:"positional" help:"upstream or daemon; without it the drains are listed"`
	Subject string `arg:"positional" help:"name of the upstream or daemon"`
	Reason  string `arg:"--reason" help:"why"`
	End     bool   `arg:"--end" help:"end the drain"`
	Wait    bool   `arg:"--wait" help:"wait until nothing runs there"`
}

func (c *drainCmd) run(ctx context.Context, e *env) error {
	if c.Kind == "" {
		return e.listDrains(ctx)
	}
	kind := protocol.DrainKind(c.Kind)
	if kind != protocol.DrainUpstream && kind != protocol.DrainDaemon || c.Subject == "" {
		return usageError("give a kind, upstream or daemon, and a name")
	}
	if c.End {
		return c.end(ctx, e, kind)
	}
	drain, err := e.client.Drain(ctx, kind, c.Subject, c.Reason)
	if err != nil {
		return err
	}
	if c.Wait {
		if err := waitDrained(ctx, e, kind, c.Subject); err != nil {
			return err
		}
	}
	if e.json() {
		return e.printJSON(drain)
	}
	fmt.Fprintf(e.Stdout, "%s %s takes no new work\n", kind, c.Subject)
	return nil
}

func (c *drainCmd) end(ctx context.Context, e *env, kind protocol.DrainKind) error {
	if err := e.client.Undrain(ctx, kind, c.Subject); err != nil {
		return err
	}
	if e.json() {
		return e.printJSON(protocol.Drain{Kind: kind, Subject: c.Subject})
	}
	fmt.Fprintf(e.Stdout, "%s %s takes work again\n", kind, c.Subject)
	return nil
}

func (e *env) listDrains(ctx context.Context) error {
	view, err := e.client.Fleet(ctx)
	if err != nil {
		return err
	}
	if e.json() {
		return e.printJSON(view.Drains)
	}
	return table(e.Stdout, func(t io.Writer) {
		fmt.Fprintln(t, "KIND\tNAME\tSINCE\tBY\tREASON")
		for _, d := range view.Drains {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", d.Kind, d.Subject, formatTime(d.At), d.Author, d.Reason)
		}
	})
}

// waitDrained waits until the drain of an upstream or daemon is complete.
func waitDrained(ctx context.Context, e *env, kind protocol.DrainKind, subject string) error {
	for {
		view, err := e.client.Fleet(ctx)
		if err == nil && drained(&view, kind, subject) {
			return nil
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s %s takes no new work, but requests still run there: %w", kind, subject, ctx.Err())
		}
	}
}

// drained reports whether the drain of an upstream or daemon is complete. The drain of an upstream is complete
// when the upstream is leaving and has no running or queued requests. The drain of a daemon is complete when the
// daemon is draining and owns no upstreams.
func drained(view *protocol.FleetView, kind protocol.DrainKind, subject string) bool {
	for _, d := range view.Daemons {
		if kind == protocol.DrainDaemon && string(d.Daemon) == subject {
			return d.Draining && len(d.Upstreams) == 0
		}
		for _, u := range d.Upstreams {
			if kind == protocol.DrainUpstream && string(u.ID) == subject {
				return u.Leaving && u.Running+u.Queued == 0
			}
		}
	}
	return false
}
