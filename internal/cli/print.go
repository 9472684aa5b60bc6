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

// paint colors text for terminals.
func (e *env) paint(color, text string) string {
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

// printJSON writes v for programs.
func (e *env) printJSON(v any) error {
	encoder := json.NewEncoder(e.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table writes columns that are separated by tabs.
func table(w io.Writer, write func(io.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(t)
	return t.Flush()
}

func stamp(t time.Time) string { return t.UTC().Format(timeFormat) }

// readFile reads a file, or standard input for "-".
func (e *env) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(e.Stdin)
	}
	return os.ReadFile(name)
}
