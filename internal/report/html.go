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
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"stamp":   stamp,
	"objects": objects,
	"state":   UpstreamState,
	"title":   title,
	"reports": reports,
	"count":   countSeverity,
	"percent": percent,
	"p95":     p95,
	"late":    func(part, whole uint64) bool { return whole >= fewRequests && Share(part, whole) < lateShare },
	"more":    func(total, shown int) int { return max(0, total-shown) },
}).Parse(pageText))

// title returns a kind of condition in words.
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

type pageData struct {
	*Handover
	RankPlot template.HTML
	LoadPlot template.HTML
	Shown    []protocol.OwnedUpstream
	States   []protocol.StateChange
	// OlderChanges counts the changes that are not in States.
	OlderChanges int
	Interval     time.Duration
}

// HTML writes the handover as one page that needs no other file.
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
		Shown:    h.Upstreams[:min(len(h.Upstreams), maxLines)],
		States:   h.Changes[:min(len(h.Changes), maxLines)],
	}
	data.OlderChanges = len(h.Changes) - len(data.States) + h.MoreChanges
	return page.Execute(w, data)
}
