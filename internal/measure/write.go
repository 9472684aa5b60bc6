package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 8 * vg.Millimeter
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
	stall := func(r Result) float64 { return r.Stall }
	urgent := func(r Result) float64 { return r.InTarget[0] }
	for _, size := range Sizes() {
		for name, value := range map[string]func(Result) float64{"stall": stall, "urgent": urgent} {
			path := filepath.Join(plots, fmt.Sprintf("decisions-%s-%s.svg", size.Name, name))
			if err := bars(path, size.Name, name, rows, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func keep(path, label string, rows []Result) error {
	var all []Variant
	old, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(old, &all); err != nil {
			return err
		}
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
func bars(path, size, name string, rows []Result, value func(Result) float64) error {
	p := plot.New()
	p.Title.Text = size
	p.Y.Label.Text = name
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
					values[j] = value(r)
				}
			}
		}
		chart, err := plotter.NewBarChart(values, barWidth/2)
		if err != nil {
			return err
		}
		chart.Offset = barWidth / 2 * vg.Length(i)
		chart.Color = plotter.DefaultLineStyle.Color
		if i == 0 {
			chart.Color = nil
		}
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.NominalX(labels...)
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}
