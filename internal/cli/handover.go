package cli

import (
	"context"
	"fmt"
	"os"
	"time"
)

// handoverCmd prints the handover report.
type handoverCmd struct {
	Since string `arg:"--since" default:"24h" help:"show changes since: a duration before now or a time such as 2006-01-02T15:04:05Z"`
	HTML  string `arg:"--html" help:"write a page for browsers to this file"`
	Edge  string `arg:"--edge" help:"metrics address of a daemon on the users' platform, to ask in place of the operators' API"`
}

func (c *handoverCmd) run(ctx context.Context, e *env) error {
	if c.Edge != "" {
		r, err := readEdgeReport(ctx, c.Edge)
		if err != nil {
			return err
		}
		return e.printEdge(&r, true)
	}
	since, err := parseSince(c.Since, e.Clock())
	if err != nil {
		return err
	}
	h, err := e.client.Handover(ctx, since)
	if err != nil {
		return err
	}
	switch {
	case e.json():
		err = e.printJSON(h)
	case c.HTML != "":
		if err = writeFile(c.HTML, func(f *os.File) error { return h.HTML(f) }); err == nil {
			fmt.Fprintf(e.Stdout, "wrote %s\n", c.HTML)
		}
	default:
		err = h.Text(e.Stdout)
	}
	if err == nil && len(h.Missing)+len(h.Unreadable) > 0 {
		return errPartial
	}
	return err
}

// parseSince returns the time that text describes: a duration before now, or a time in RFC 3339.
func parseSince(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, usageError(fmt.Sprintf("--since must be a duration such as 24h or a time such as 2006-01-02T15:04:05Z, is %q", text))
	}
	return t, nil
}

func writeFile(name string, write func(*os.File) error) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// noteCmd adds a note for the next operators, or lists the notes.
type noteCmd struct {
	Text string `arg:"positional" help:"text of the note; without it the notes are listed"`
}

func (c *noteCmd) run(ctx context.Context, e *env) error {
	if c.Text == "" {
		return e.listNotes(ctx)
	}
	note, err := e.client.AddNote(ctx, c.Text)
	if err != nil {
		return err
	}
	if e.json() {
		return e.printJSON(note)
	}
	fmt.Fprintf(e.Stdout, "note %d is kept\n", note.ID)
	return nil
}

func (e *env) listNotes(ctx context.Context) error {
	notes, err := e.client.Notes(ctx)
	if err != nil {
		return err
	}
	if e.json() {
		return e.printJSON(notes)
	}
	for _, n := range notes {
		fmt.Fprintf(e.Stdout, "#%d %s %s: %s\n", n.ID, formatTime(n.At), n.Author, n.Text)
	}
	return nil
}
