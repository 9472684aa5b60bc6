package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	timeFormat    = "2006-01-02 15:04:05Z"
	maxShownLines = 30
)

// Text writes the handover as plain text for a terminal.
func (h *Handover) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HANDOVER at %s, changes since %s, collected by %s\n", formatTime(h.At), formatTime(h.Since), h.From)
	h.textPartial(&b)
	textGroups(&b, "WHAT NEEDS YOU NOW", h.NeedsYou, "nothing")
	h.textNotes(&b)
	h.textChanges(&b)
	h.textConfiguration(&b)
	h.textRanks(&b)
	h.textFleet(&b)
	textGroups(&b, "GOOD TO KNOW", h.GoodToKnow, "nothing")
	_, err := io.WriteString(w, b.String())
	return err
}

// formatTime formats a time in UTC, or "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(timeFormat)
}

// join joins strings of any string type with commas.
func join[T ~string](list []T) string {
	text := make([]string, len(list))
	for i, x := range list {
		text[i] = string(x)
	}
	return strings.Join(text, ", ")
}

// textPartial writes which daemons did not answer and what could not be read.
func (h *Handover) textPartial(b *strings.Builder) {
	for _, m := range h.Missing {
		fmt.Fprintf(b, "PARTIAL: %s in %s did not answer: %s\n", m.Daemon, m.Zone, m.Reason)
	}
	for _, u := range h.Unreadable {
		fmt.Fprintf(b, "PARTIAL: could not read %s\n", u)
	}
}

// textGroups writes groups of conditions under a title, or emptyText if there are none.
func textGroups(b *strings.Builder, title string, groups []Group, emptyText string) {
	fmt.Fprintf(b, "\n%s\n", title)
	if len(groups) == 0 {
		fmt.Fprintf(b, "  %s\n", emptyText)
	}
	for _, g := range groups {
		fmt.Fprintf(b, "  [%s] %s (%d)%s\n", g.Severity, g.Kind, g.Count, sinceText(g.Since))
		for _, c := range g.Conditions {
			fmt.Fprintf(b, "      %s: %s%s\n", c.Subject, c.Detail, reportCount(c))
		}
		if more := g.Count - len(g.Conditions); more > 0 {
			fmt.Fprintf(b, "      and %d more\n", more)
		}
		fmt.Fprintf(b, "      -> %s\n", g.Advice)
	}
}

// reportCount returns a note on how many daemons report a condition, or "" if only one daemon does.
func reportCount(c protocol.Condition) string {
	if c.Daemons < 2 {
		return ""
	}
	return fmt.Sprintf(" (at %d daemons)", c.Daemons)
}

func sinceText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return " since " + formatTime(t)
}

func (h *Handover) textNotes(b *strings.Builder) {
	fmt.Fprintf(b, "\nNOTES\n")
	if len(h.Notes) == 0 {
		fmt.Fprintf(b, "  none\n")
	}
	for _, n := range h.Notes {
		fmt.Fprintf(b, "  #%d %s %s: %s\n", n.ID, formatTime(n.At), n.Author, strings.ReplaceAll(n.Text, "\n", "\n      "))
	}
}

func (h *Handover) textChanges(b *strings.Builder) {
	fmt.Fprintf(b, "\nWHAT CHANGED\n")
	if len(h.Revisions)+len(h.Changes) == 0 {
		fmt.Fprintf(b, "  nothing\n")
	}
	for i, r := range h.Revisions {
		if i == maxShownLines {
			fmt.Fprintf(b, "  and %d more revisions\n", len(h.Revisions)-maxShownLines)
			break
		}
		fmt.Fprintf(b, "  %s revision %d by %s: %s (%s)\n", formatTime(r.At), r.Revision, r.Author, r.Message, objects(r))
	}
	for i, c := range h.Changes {
		if i == maxShownLines {
			fmt.Fprintf(b, "  and %d more changes of state\n", len(h.Changes)-maxShownLines+h.MoreChanges)
			break
		}
		fmt.Fprintf(b, "  %s %s: %s (seen by %s)\n", formatTime(c.At), c.Subject, c.Description, c.Daemon)
	}
}

// objects lists the first few objects of a revision.
func objects(r configsync.RevisionInfo) string {
	const shown = 3
	var names []string
	for i, key := range r.Objects {
		if i == shown {
			names = append(names, fmt.Sprintf("%d more", len(r.Objects)-shown))
			break
		}
		names = append(names, key.String())
	}
	return strings.Join(names, ", ")
}

func (h *Handover) textConfiguration(b *strings.Builder) {
	fmt.Fprintf(b, "\nCONFIGURATION\n  revision %d in force at %d of %d daemons\n", h.Revision, h.Progress.InForce, h.Progress.Daemons)
	for _, f := range h.InForce {
		fmt.Fprintf(b, "  revision %d reported by %d daemons\n", f.Revision, f.Daemons)
	}
}

func (h *Handover) textRanks(b *strings.Builder) {
	fmt.Fprintf(b, "\nRANKS AGAINST TARGETS\n")
	_ = RankTable(b, h.Ranks)
}

// RankTable writes a table that compares the latencies of ranks with their targets.
func RankTable(w io.Writer, ranks []protocol.RankStatus) error {
	return table(w, func(t io.Writer) {
		fmt.Fprintln(t, "  RANK\tREQUESTS\tFIRST TOKEN\tTARGET\tIN TIME\tBETWEEN\tTARGET\tIN TIME\tREFUSED\tFAILED")
		for _, r := range ranks {
			fmt.Fprintf(t, "  %s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", r.Rank, r.Requests,
				p95(r.FirstTokenP95, r.FirstTokens), r.FirstTokenTarget, percent(r.FirstTokensInTime, r.FirstTokens),
				p95(r.GapP95, r.Gaps), r.GapTarget, percent(r.GapsInTime, r.Gaps), r.Refused, r.Failed)
		}
	})
}

// p95 formats a 95th percentile over n values, or "-" if there are none.
func p95(d time.Duration, n uint64) string {
	if n == 0 {
		return "-"
	}
	return d.Round(time.Millisecond / 10).String()
}

// percent formats part/whole as a percentage, or "-" if whole is 0.
func percent(part, whole uint64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*Fraction(part, whole))
}

func (h *Handover) textFleet(b *strings.Builder) {
	fmt.Fprintf(b, "\nZONES\n")
	_ = ZoneTable(b, h.Zones)
	fmt.Fprintf(b, "\nUPSTREAMS\n")
	_ = UpstreamTable(b, h.Upstreams, maxShownLines)
}

// ZoneTable writes a table of availability zones.
func ZoneTable(w io.Writer, zones []ZoneSummary) error {
	return table(w, func(t io.Writer) {
		fmt.Fprintln(t, "  ZONE\tREGION\tDAEMONS\tSILENT\tUPSTREAMS\tHEALTHY\tLEAVING\tDOWN\tUNOWNED\tRUNNING\tQUEUED\tBATCH")
		for _, z := range zones {
			fmt.Fprintf(t, "  %s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", z.Zone, z.Region, z.Daemons, z.Silent,
				z.Upstreams, z.Healthy, z.Leaving, z.Down, z.Unowned, z.Running, z.Queued, z.Batch)
		}
	})
}

// UpstreamTable writes a table of upstreams, at most limit of them.
func UpstreamTable(w io.Writer, upstreams []protocol.OwnedUpstream, limit int) error {
	err := table(w, func(t io.Writer) {
		fmt.Fprintln(t, "  UPSTREAM\tZONE\tKIND\tOWNER\tSTATE\tRUNNING\tQUEUED\tBATCH\tLOADED\tSLOTS\tRESTARTS")
		for _, u := range upstreams[:min(len(upstreams), limit)] {
			fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", u.ID, u.Zone, u.Kind, u.Owner, UpstreamState(u),
				u.Running, u.Queued, u.Batch, len(u.Resident), u.Slots, u.Restarts)
		}
	})
	if more := len(upstreams) - limit; more > 0 {
		fmt.Fprintf(w, "  and %d more; see celerydeck status --upstreams\n", more)
	}
	return err
}

// UpstreamState returns "leaving", "down" or "healthy".
func UpstreamState(u protocol.OwnedUpstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case !u.Healthy:
		return "down"
	}
	return "healthy"
}

// table passes write a writer that aligns tab-separated columns and prints them to w.
func table(w io.Writer, write func(io.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(t)
	return t.Flush()
}
