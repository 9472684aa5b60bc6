package cli

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/celerydeck/celerydeck/internal/decisionlog"
)

// logTimeFormat is the format of the times of log lines.
const logTimeFormat = "15:04:05.000"

// traceRequest prints the lines in the logs that concern a request, ordered by time, and the cause of the
// outcome of the request.
func (c *explainCmd) traceRequest(e *env) error {
	paths := c.Logs
	if len(paths) == 0 {
		paths = []string{"-"}
	}
	var lines []decisionlog.Line
	for _, path := range paths {
		found, err := readLog(e.Stdin, path)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	trace := decisionlog.Trace(lines, c.Request)
	if e.json() {
		return e.printJSON(trace)
	}
	for _, l := range trace.Lines {
		fmt.Fprintf(e.Stdout, "%s %-24s %-22s %s\n", l.Time.UTC().Format(logTimeFormat), l.VM, l.Event, l.Text())
	}
	if len(trace.Lines) > 1 {
		span := trace.Lines[len(trace.Lines)-1].Time.Sub(trace.Lines[0].Time)
		fmt.Fprintf(e.Stdout, "%d lines over %s\n", len(trace.Lines), span.Round(time.Millisecond))
	}
	for _, id := range slices.Sorted(maps.Keys(trace.Others)) {
		fmt.Fprintf(e.Stdout, "%d lines about other adapters at %s\n", trace.Others[id], id)
	}
	fmt.Fprintf(e.Stdout, "cause: %s\n", trace.Cause)
	return nil
}

// readLog reads the lines of a log file, or of standard input for "-".
func readLog(stdin io.Reader, path string) ([]decisionlog.Line, error) {
	r := stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		defer f.Close()
		r = f
	}
	lines, err := decisionlog.ReadLines(r)
	if err != nil {
		return nil, fmt.Errorf("read log %s: %w", path, err)
	}
	return lines, nil
}
