package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 8 * vg.Millimeter
	labelAngle = math.Pi / 6
)

// Variant holds the results measured under one label.
type Variant struct {
	Label string   `json:"label"`
	Rows  []Result `json:"rows"`
}

// WriteResults writes the table, the rows of all variants and the plots to a directory. It
// replaces the rows of the same label and keeps the rows of other labels.
func WriteResults(dir, label string, rows []Result) error {
	plots := filepath.Join(dir, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return err
	}
	if err := storeRows(filepath.Join(dir, "decisions.json"), label, rows); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "decisions-table.md"), []byte(MarkdownTable(rows)), 0o644); err != nil {
		return err
	}
	return drawPlots(plots, rows)
}

// RedrawPlots draws the plots of a stored variant again.
func RedrawPlots(dir, label string) error {
	variants, err := readVariants(filepath.Join(dir, "decisions.json"))
	if err != nil {
		return err
	}
	for _, v := range variants {
		if v.Label == label {
			return drawPlots(filepath.Join(dir, "plots"), v.Rows)
		}
	}
	return fmt.Errorf("no rows are stored under the label %q", label)
}

// plottedMetric is a metric to plot, with its name in file names and its title.
type plottedMetric struct {
	file  string
	title string
	value func(Result) float64
}

// drawPlots draws the plots of all sizes and metrics.
func drawPlots(dir string, rows []Result) error {
	values := []plottedMetric{
		{file: "stall", title: "stall, seconds a request", value: func(r Result) float64 { return r.MeanStall }},
		{file: "urgent", title: "most urgent rank within its targets", value: func(r Result) float64 { return r.WithinTargets[0] }},
	}
	for _, size := range Sizes() {
		for _, v := range values {
			path := filepath.Join(dir, fmt.Sprintf("decisions-%s-%s.svg", size.Name, v.file))
			if err := plotBars(path, size.Name, v, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

// readVariants returns the variants stored in a file, or none if the file does not exist.
func readVariants(path string) ([]Variant, error) {
	old, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var all []Variant
	err = json.Unmarshal(old, &all)
	return all, err
}

// storeRows replaces or adds the rows of a label in a file of variants.
func storeRows(path, label string, rows []Result) error {
	all, err := readVariants(path)
	if err != nil {
		return err
	}
	replaced := false
	for i := range all {
		if all[i].Label == label {
			all[i].Rows, replaced = rows, true
		}
	}
	if !replaced {
		all = append(all, Variant{Label: label, Rows: rows})
	}
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// plotBars plots a metric of two policies in all scenarios at one size.
func plotBars(path, size string, metric plottedMetric, rows []Result) error {
	p := plot.New()
	p.Title.Text = size
	p.Y.Label.Text = metric.title
	scenarios := Scenarios()
	labels := make([]string, len(scenarios))
	for i, s := range scenarios {
		labels[i] = s.Name
	}
	for i, policy := range []string{"rendezvous", "celerydeck"} {
		values := make(plotter.Values, len(scenarios))
		for _, r := range rows {
			for j, s := range scenarios {
				if r.Size == size && r.Policy == policy && r.Scenario == s.Name {
					values[j] = metric.value(r)
				}
			}
		}
		chart, err := plotter.NewBarChart(values, barWidth/2)
		if err != nil {
			return err
		}
		chart.Offset = barWidth / 2 * vg.Length(i)
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = labelAngle
	p.X.Tick.Label.XAlign = text.XRight
	p.X.Tick.Label.YAlign = text.YCenter
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, path)
}
