package cli

import (
	"encoding/json"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	colorRed    = "31"
	colorGreen  = "32"
	colorYellow = "33"
	timeFormat  = "2006-01-02 15:04:05Z"
)

// colorize wraps text in the escape sequences of a color if colors are enabled.
func (e *env) colorize(color, text string) string {
	on := e.args.Color == "always" || e.args.Color == "auto" && e.Terminal && !slices.Contains(e.Environ, "NO_COLOR=1")
	if !on {
		return text
	}
	return "\x1b[" + color + "m" + text + "\x1b[0m"
}

func severityColor(s protocol.Severity) string {
	switch s {
	case protocol.SeverityUrgent:
		return colorRed
	case protocol.SeverityWatch:
		return colorYellow
	}
	return colorGreen
}

// printJSON writes v as indented JSON.
func (e *env) printJSON(v any) error {
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table passes write a writer that aligns tab-separated columns and prints them to w.
func table(w io.Writer, write func(io.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(t)
	return t.Flush()
}

// formatTime formats a time in UTC with seconds.
func formatTime(t time.Time) string { return t.UTC().Format(timeFormat) }

// readFile reads the named file, or standard input if the name is "-".
func (e *env) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(e.Stdin)
	}
	return os.ReadFile(name)
}
