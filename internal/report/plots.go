package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

const (
	plotWidth         = 16 * vg.Centimeter
	plotHeight        = 7 * vg.Centimeter
	plotMargin        = 0.7 * vg.Centimeter // right margin, in which the label of the last tick may extend
	totalBarWidth     = 12 * vg.Centimeter  // width of all bars together, with the gaps between them
	maxBarWidth       = 0.4 * vg.Centimeter
	legendPadding     = 1.2 * vg.Millimeter
	legendWidth       = 0.6 * vg.Centimeter
	maxLevelZoneNames = 6 // with more zones their names are rotated
	lineWidth         = 1.5 * vg.Millimeter / 3
)

// palette holds colors that are distinguishable with red-green color blindness.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x56, G: 0x3c, B: 0x8c, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
}

// newPlot returns an empty plot. The fonts of the plot are only used to measure text. The page displays the text
// in another font, which may be wider.
func newPlot() *plot.Plot {
	p := plot.New()
	for _, style := range []*text.Style{&p.Title.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle} {
		style.Font.Variant = "Sans"
	}
	p.Legend.Padding = legendPadding
	p.Legend.ThumbnailWidth = legendWidth
	return p
}

// rankPlot draws, for each rank, a line with the percentage of first tokens within the target over time. It
// returns an empty string if no rank has a first token.
func rankPlot(ranks []protocol.RankStatus) (template.HTML, error) {
	p := newPlot()
	p.Title.Text = "First tokens within target, by rank (%)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: plot.UTCUnixTime}
	p.Legend.Top = false
	p.Legend.Left = true
	drawn := 0
	for i, r := range ranks {
		points := fractionPoints(r.Intervals)
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
	widenSinglePoint(p)
	p.Y.Max = 100.5
	p.Y.Min = max(0, min(p.Y.Min-2, 90))
	return renderSVG(p)
}

// widenSinglePoint extends the time axis if all points lie within a few minutes.
func widenSinglePoint(p *plot.Plot) {
	const margin = float64(5 * time.Minute / time.Second)
	if p.X.Max-p.X.Min < margin {
		p.X.Min -= margin
		p.X.Max += margin
	}
}

// fractionPoints returns a point for each interval that has first tokens: the percentage of them within the
// target.
func fractionPoints(intervals []protocol.Interval) plotter.XYs {
	var points plotter.XYs
	for _, interval := range intervals {
		if interval.FirstTokens == 0 {
			continue
		}
		points = append(points, plotter.XY{
			X: float64(interval.Start.Unix()),
			Y: 100 * Fraction(interval.FirstTokensInTime, interval.FirstTokens),
		})
	}
	return points
}

// loadPlot draws the running and queued requests and the batch capacity of each zone.
func loadPlot(zones []ZoneSummary) (template.HTML, error) {
	if len(zones) == 0 {
		return "", nil
	}
	p := newPlot()
	p.Title.Text = "Requests by availability zone"
	var running, queued, batch plotter.Values
	names := make([]string, len(zones))
	for i, z := range zones {
		running = append(running, float64(z.Running))
		queued = append(queued, float64(z.Queued))
		batch = append(batch, float64(z.Batch))
		names[i] = string(z.Zone)
	}
	barWidth := min(maxBarWidth, totalBarWidth/vg.Length(4*len(zones)))
	for i, series := range []struct {
		name   string
		values plotter.Values
	}{{"running ", running}, {"queued ", queued}, {"batch ", batch}} {
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
	p.X.Min, p.X.Max = -0.5, float64(len(zones))-0.5
	if len(zones) > maxLevelZoneNames {
		p.X.Tick.Label.Rotation = -math.Pi / 4
		p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = text.XLeft, text.YTop
	}
	p.Y.Min = 0
	p.Y.Max = max(1, p.Y.Max*1.4)
	return renderSVG(p)
}

// renderSVG returns a plot as an SVG element, without the XML declaration, that can be embedded in a page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 0, -plotMargin, 0, 0))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	out := buf.String()
	start := strings.Index(out, "<svg")
	if start < 0 {
		return "", fmt.Errorf("plot %q has no SVG element", p.Title.Text)
	}
	return template.HTML(strings.Replace(out[start:], "<svg", `<svg role="img"`, 1)), nil
}
