package measure

import (
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Job is a policy and a scenario to measure with several seeds.
type Job struct {
	Size     Size
	Scenario Scenario
	Policy   Policy
	Seeds    []uint64
}

// TableSeeds returns the seeds of the published tables. Parameters are tuned with other
// seeds only, so that the tables do not show overfitting.
func TableSeeds() []uint64 { return []uint64{11, 12, 13, 14, 15, 16, 17, 18, 19, 20} }

// RunJobs runs jobs, up to parallel at a time, and returns the mean result of each.
func RunJobs(jobs []Job, parallel int) []Result {
	rows := make([]Result, len(jobs))
	var g errgroup.Group
	g.SetLimit(parallel)
	for i, j := range jobs {
		g.Go(func() error {
			all := make([]Result, len(j.Seeds))
			for k, seed := range j.Seeds {
				all[k] = Run(j.Size, j.Scenario, j.Policy, seed)
			}
			rows[i] = mean(all)
			return nil
		})
	}
	_ = g.Wait()
	return rows
}

// mean averages the results of one job. Requests are summed up.
func mean(all []Result) Result {
	m := Result{
		Size: all[0].Size, Scenario: all[0].Scenario, Policy: all[0].Policy,
		WithinTargets: make([]float64, len(all[0].WithinTargets)),
	}
	n := float64(len(all))
	for _, r := range all {
		m.Requests += r.Requests
		m.MeanStall += r.MeanStall / n
		m.StalledFraction += r.StalledFraction / n
		m.MeanBatch += r.MeanBatch / n
		m.TokensPerSecond += r.TokensPerSecond / n
		m.WorthServed += r.WorthServed / n
		m.OthersKept += r.OthersKept / n
		m.FlooderWithinTargets += r.FlooderWithinTargets / n
		m.RecoverySeconds += r.RecoverySeconds / n
		m.LoadsPerSecond += r.LoadsPerSecond / n
		m.RefusedFraction += r.RefusedFraction / n
		m.PrefixCached += r.PrefixCached / n
		m.StallBound += r.StallBound / n
		m.OnDemandStall += r.OnDemandStall / n
		for i, t := range r.WithinTargets {
			m.WithinTargets[i] += t / n
		}
	}
	return m
}

// MarkdownTable formats results as a Markdown table.
func MarkdownTable(rows []Result) string {
	var b strings.Builder
	b.WriteString("| size | scenario | policy | stall s | stalled | batch | rank 0 | rank 1 | rank 2 | worth | others kept | recovery s | loads/s | refused | bound s | on demand s |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %.3f | %.3f | %.2f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %.2f | %.3f | %.3f | %.3f |\n",
			r.Size, r.Scenario, r.Policy, r.MeanStall, r.StalledFraction, r.MeanBatch, r.WithinTargets[0], r.WithinTargets[1], r.WithinTargets[2],
			r.WorthServed, r.OthersKept, r.RecoverySeconds, r.LoadsPerSecond, r.RefusedFraction, r.StallBound, r.OnDemandStall)
	}
	return b.String()
}
