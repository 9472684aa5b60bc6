// Command deckmeasure measures celerydeck's decisions in simulations with virtual time.
package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/celerydeck/celerydeck/internal/measure"
)

type settings struct {
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
	var options settings
	arg.MustParse(&options)
	if options.Redraw {
		exitOn(measure.RedrawPlots(options.Out, options.Label))
		return
	}
	seeds := options.Seed
	if len(seeds) == 0 {
		seeds = measure.TableSeeds()
	}
	policies := measure.Policies()
	if options.Sweep {
		policies = measure.RoutingSweep()
	}
	selected := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	var jobs []measure.Job
	for _, size := range measure.Sizes() {
		for _, s := range measure.Scenarios() {
			for _, p := range policies {
				if options.Size != "" && options.Size != size.Name || !selected(options.Scenario, s.Name) || !selected(options.Policy, p.Name) {
					continue
				}
				jobs = append(jobs, measure.Job{Size: size, Scenario: s, Policy: p, Seeds: seeds})
			}
		}
	}
	rows := measure.RunJobs(jobs, options.Parallel)
	fmt.Print(measure.MarkdownTable(rows))
	if options.Out == "" {
		return
	}
	exitOn(measure.WriteResults(options.Out, options.Label, rows))
}

// exitOn prints an error and exits with code 1. It does nothing without an error.
func exitOn(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
