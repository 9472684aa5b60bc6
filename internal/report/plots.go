package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 0.35 * vg.Centimeter
	lineWidth  = 1.5 * vg.Millimeter / 3
)

// palette holds colors that are told apart without red and green.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x56, G: 0x3c, B: 0x8c, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
}

// rankPlot draws the share of first tokens in time over the intervals.
func rankPlot(ranks []protocol.RankStatus) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "First tokens within target, by rank (%)"
	p.Y.Min, p.Y.Max = 0, 102
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: plot.UTCUnixTime}
	p.Legend.Top = false
	p.Legend.Left = true
	drawn := 0
	for i, r := range ranks {
		points := sharePoints(r.Intervals)
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", err
		}
		line.Color = palette[i%len(palette)]
		line.Width = lineWidth
		dots.Color = line.Color
		p.Add(line, dots)
		p.Legend.Add(r.Rank, line)
		drawn++
	}
	if drawn == 0 {
		return "", nil
	}
	widen(p)
	return svg(p)
}

// widen gives a plot of a single point an axis of some minutes.
func widen(p *plot.Plot) {
	const margin = float64(5 * time.Minute / time.Second)
	if p.X.Max-p.X.Min < margin {
		p.X.Min -= margin
		p.X.Max += margin
	}
}

func sharePoints(intervals []protocol.Interval) plotter.XYs {
	var points plotter.XYs
	for _, interval := range intervals {
		if interval.Firsts == 0 {
			continue
		}
		points = append(points, plotter.XY{
			X: float64(interval.Start.Unix()),
			Y: 100 * Share(interval.FirstInTime, interval.Firsts),
		})
	}
	return points
}

// loadPlot draws running and queued requests by zone.
func loadPlot(zones []ZoneSummary) (template.HTML, error) {
	if len(zones) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "Requests by availability zone"
	var running, queued, batch plotter.Values
	names := make([]string, len(zones))
	for i, z := range zones {
		running = append(running, float64(z.Running))
		queued = append(queued, float64(z.Queued))
		batch = append(batch, float64(z.Batch))
		names[i] = string(z.Zone)
	}
	for i, series := range []struct {
		name   string
		values plotter.Values
	}{{"running", running}, {"queued", queued}, {"room in batches", batch}} {
		bars, err := plotter.NewBarChart(series.values, barWidth)
		if err != nil {
			return "", err
		}
		bars.Color = palette[i%len(palette)]
		bars.LineStyle.Width = 0
		bars.Offset = vg.Length(i-1) * barWidth
		p.Add(bars)
		p.Legend.Add(series.name, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	p.Y.Min = 0
	p.Y.Max = max(1, p.Y.Max*1.4)
	return svg(p)
}

// svg returns a plot as an SVG element that scales with the page.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(plotArea(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	text := buf.String()
	start := strings.Index(text, "<svg")
	if start < 0 {
		return "", fmt.Errorf("plot %q has no SVG element", p.Title.Text)
	}
	text = strings.Replace(text[start:], "<svg", `<svg role="img"`, 1)
	return template.HTML(text), nil
}
