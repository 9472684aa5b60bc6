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

// Variant is the rows of one state of the policies.
type Variant struct {
	Label string   `json:"label"`
	Rows  []Result `json:"rows"`
}

// Write puts the table, the rows of all variants and the plots into a directory.
// Rows of the same label are replaced; those of other labels are kept.
func Write(dir, label string, rows []Result) error {
	plots := filepath.Join(dir, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return err
	}
	if err := keep(filepath.Join(dir, "decisions.json"), label, rows); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "decisions-table.md"), []byte(Table(rows)), 0o644); err != nil {
		return err
	}
	return drawAll(plots, rows)
}

// Redraw draws the plots of a kept variant again.
func Redraw(dir, label string) error {
	variants, err := readKept(filepath.Join(dir, "decisions.json"))
	if err != nil {
		return err
	}
	for _, v := range variants {
		if v.Label == label {
			return drawAll(filepath.Join(dir, "plots"), v.Rows)
		}
	}
	return fmt.Errorf("no rows are kept under the label %q", label)
}

// measured is a value of a run with its name for files and for readers.
type measured struct {
	file  string
	title string
	of    func(Result) float64
}

func drawAll(dir string, rows []Result) error {
	values := []measured{
		{file: "stall", title: "stall, seconds a request", of: func(r Result) float64 { return r.Stall }},
		{file: "urgent", title: "most urgent rank within its targets", of: func(r Result) float64 { return r.InTarget[0] }},
	}
	for _, size := range Sizes() {
		for _, v := range values {
			path := filepath.Join(dir, fmt.Sprintf("decisions-%s-%s.svg", size.Name, v.file))
			if err := bars(path, size.Name, v, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

// readKept returns the variants that are kept in a file, none if there is no file.
func readKept(path string) ([]Variant, error) {
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

func keep(path, label string, rows []Result) error {
	all, err := readKept(path)
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

// bars plots a value of every scenario and policy at one size.
func bars(path, size string, value measured, rows []Result) error {
	p := plot.New()
	p.Title.Text = size
	p.Y.Label.Text = value.title
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
					values[j] = value.of(r)
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
