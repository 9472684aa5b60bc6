package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
)

// getCmd prints a revision of the configuration, or one object of it.
type getCmd struct {
	Revision uint64 `arg:"--revision" help:"revision to print; 0 is the one in force"`
	Object   string `arg:"--object" help:"print this object only, such as adapter/advice/blitz or ranks"`
}

// run prints the canonical JSON in both output formats, and the revision number on standard error.
func (c *getCmd) run(ctx context.Context, e *env) error {
	body, err := e.client.Config(ctx, c.Revision)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.Stderr, "revision %d\n", body.Revision)
	if c.Object != "" {
		return c.printObject(e, body.Config)
	}
	return body.Config.Write(e.Stdout)
}

func (c *getCmd) printObject(e *env, config *deckconfig.Config) error {
	objects, err := configsync.Split(config)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if o.Key.String() == c.Object {
			return e.printJSON(o.Value)
		}
	}
	return &codeError{code: ExitNotFound, err: fmt.Errorf("no object %q", c.Object)}
}

// historyCmd lists the newest revisions.
type historyCmd struct {
	Limit int `arg:"--limit" default:"20" help:"number of revisions"`
}

func (c *historyCmd) run(ctx context.Context, e *env) error {
	revisions, err := e.client.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	if e.json() {
		return e.printJSON(revisions)
	}
	return table(e.Stdout, func(t io.Writer) {
		fmt.Fprintln(t, "REVISION\tWHEN\tBY\tOBJECTS\tMESSAGE")
		for _, r := range revisions {
			fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", r.Revision, formatTime(r.At), r.Author, objects(r.Objects), r.Message)
		}
	})
}

// objects formats the keys of changed objects for a table cell.
func objects(keys []configsync.ObjectKey) string {
	switch len(keys) {
	case 0:
		return "-"
	case 1:
		return keys[0].String()
	}
	return fmt.Sprintf("%s and %d more", keys[0], len(keys)-1)
}

// rollbackCmd submits the configuration of an old revision as a new revision.
type rollbackCmd struct {
	Revision uint64 `arg:"positional,required" help:"revision whose content is wanted again"`
	Message  string `arg:"-m,--message" help:"what the change is for"`
	NoWait   bool   `arg:"--no-wait" help:"return when the submission is accepted"`
}

func (c *rollbackCmd) run(ctx context.Context, e *env) error {
	if c.Revision == 0 {
		return usageError("the revision must be positive")
	}
	old, err := e.client.Config(ctx, c.Revision)
	if err != nil {
		return err
	}
	current, err := e.client.Config(ctx, 0)
	if err != nil {
		return err
	}
	changes, err := compare(current.Config, old.Config)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return e.reportNoChanges(ctx, current.Revision, old.Config)
	}
	message := c.Message
	if message == "" {
		message = fmt.Sprintf("roll back to revision %d", c.Revision)
	}
	return e.submit(ctx, current, configsync.Submission{Message: message, Changes: changes}, !c.NoWait)
}
