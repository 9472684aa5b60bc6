// Command deckmeasure measures the decisions of celerydeck in virtual time.
package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/celerydeck/celerydeck/internal/measure"
)

type args struct {
	Size     string   `arg:"--size" help:"only this size"`
	Scenario []string `arg:"--scenario,separate" help:"only this scenario"`
	Policy   []string `arg:"--policy,separate" help:"only this policy"`
	Seed     []uint64 `arg:"--seed,separate" help:"seed of a run; by default those kept for the tables"`
	Parallel int      `arg:"--parallel" default:"4" help:"runs at a time"`
	Sweep    bool     `arg:"--sweep" help:"vary the weights of routing instead of the policy"`
	Out      string   `arg:"--out" help:"directory for the table, the rows and the plots"`
	Redraw   bool     `arg:"--redraw" help:"only draw the plots of the kept rows again"`
	Label    string   `arg:"--label" default:"current" help:"name of this variant among the kept rows"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if a.Redraw {
		exitOn(measure.RedrawPlots(a.Out, a.Label))
		return
	}
	seeds := a.Seed
	if len(seeds) == 0 {
		seeds = measure.TableSeeds()
	}
	policies := measure.Policies()
	if a.Sweep {
		policies = measure.RoutingSweep()
	}
	wanted := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	var jobs []measure.Job
	for _, size := range measure.Sizes() {
		for _, s := range measure.Scenarios() {
			for _, p := range policies {
				if a.Size != "" && a.Size != size.Name || !wanted(a.Scenario, s.Name) || !wanted(a.Policy, p.Name) {
					continue
				}
				jobs = append(jobs, measure.Job{Size: size, Scenario: s, Policy: p, Seeds: seeds})
			}
		}
	}
	rows := measure.RunJobs(jobs, a.Parallel)
	fmt.Print(measure.MarkdownTable(rows))
	if a.Out == "" {
		return
	}
	exitOn(measure.WriteResults(a.Out, a.Label, rows))
}

// exitOn prints an error and exits with code 1. It does nothing without an error.
func exitOn(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
