package measure

import (
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Job is a policy in a scenario, measured with several seeds.
type Job struct {
	Size     Size
	Scenario Scenario
	Policy   Policy
	Seeds    []uint64
}

// TableSeeds returns the seeds of the tables. None of them was used for tuning.
func TableSeeds() []uint64 { return []uint64{11, 12, 13, 14, 15, 16, 17, 18, 19, 20} }

// RunJobs runs jobs, several at a time, and returns the mean of each.
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

func mean(all []Result) Result {
	m := Result{
		Size: all[0].Size, Scenario: all[0].Scenario, Policy: all[0].Policy,
		InTarget: make([]float64, len(all[0].InTarget)),
	}
	n := float64(len(all))
	for _, r := range all {
		m.Requests += r.Requests
		m.Stall += r.Stall / n
		m.Stalled += r.Stalled / n
		m.Batch += r.Batch / n
		m.Speed += r.Speed / n
		m.Worth += r.Worth / n
		m.Kept += r.Kept / n
		m.Flooder += r.Flooder / n
		m.Recovery += r.Recovery / n
		m.Loads += r.Loads / n
		m.Refused += r.Refused / n
		m.Prefixed += r.Prefixed / n
		m.Bound += r.Bound / n
		m.OnDemand += r.OnDemand / n
		for i, t := range r.InTarget {
			m.InTarget[i] += t / n
		}
	}
	return m
}

// Table returns the results as a table in Markdown.
func Table(rows []Result) string {
	var b strings.Builder
	b.WriteString("| size | scenario | policy | stall s | stalled | batch | rank 0 | rank 1 | rank 2 | worth | others kept | recovery s | loads/s | refused | bound s | on demand s |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %.3f | %.3f | %.2f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f | %.2f | %.3f | %.3f | %.3f |\n",
			r.Size, r.Scenario, r.Policy, r.Stall, r.Stalled, r.Batch, r.InTarget[0], r.InTarget[1], r.InTarget[2],
			r.Worth, r.Kept, r.Recovery, r.Loads, r.Refused, r.Bound, r.OnDemand)
	}
	return b.String()
}
