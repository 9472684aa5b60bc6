package report

import (
	_ "embed"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

//go:embed page.html
var pageSource string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"stamp":   formatTime,
	"objects": objects,
	"state":   UpstreamState,
	"title":   title,
	"reports": reportCount,
	"count":   countSeverity,
	"percent": percent,
	"p95":     p95,
	"late": func(part, whole uint64) bool {
		return whole >= minRequests && Fraction(part, whole) < minInTimeFraction
	},
	"more": func(total, shown int) int { return max(0, total-shown) },
}).Parse(pageSource))

// title returns the kind of a condition as a title: with spaces and a capital first letter.
func title(kind protocol.ConditionKind) string {
	words := strings.ReplaceAll(string(kind), "_", " ")
	return strings.ToUpper(words[:1]) + words[1:]
}

// countSeverity counts the conditions of a severity.
func countSeverity(groups []Group, severity protocol.Severity) int {
	n := 0
	for _, g := range groups {
		if g.Severity == severity {
			n += g.Count
		}
	}
	return n
}

// pageData is the input of the page template.
type pageData struct {
	*Handover
	RankPlot template.HTML
	LoadPlot template.HTML
	Shown    []protocol.OwnedUpstream
	States   []protocol.StateChange
	// OlderChanges is the number of changes of state that are not in States.
	OlderChanges int
	Interval     time.Duration
}

// HTML writes the handover as a self-contained HTML page.
func (h *Handover) HTML(w io.Writer) error {
	rankPlot, err := rankPlot(h.Ranks)
	if err != nil {
		return err
	}
	loadPlot, err := loadPlot(h.Zones)
	if err != nil {
		return err
	}
	data := pageData{
		Handover: h,
		RankPlot: rankPlot,
		LoadPlot: loadPlot,
		Shown:    h.Upstreams[:min(len(h.Upstreams), maxShownLines)],
		States:   h.Changes[:min(len(h.Changes), maxShownLines)],
	}
	data.OlderChanges = len(h.Changes) - len(data.States) + h.MoreChanges
	return page.Execute(w, data)
}
