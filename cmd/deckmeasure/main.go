// Command deckmeasure measures the decisions of celerydeck in virtual time.
package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/celerydeck/celerydeck/internal/measure"
)

type args struct {
	Size     string   `arg:"--size" help:"only this size"`
	Scenario []string `arg:"--scenario,separate" help:"only this scenario"`
	Policy   []string `arg:"--policy,separate" help:"only this policy"`
	Seed     uint64   `arg:"--seed" default:"1"`
	Sweep    bool     `arg:"--sweep" help:"vary the weights of routing instead of the policy"`
}

func main() {
	var a args
	arg.MustParse(&a)
	policies := measure.Policies()
	if a.Sweep {
		policies = measure.RoutingSweep()
	}
	for _, size := range measure.Sizes() {
		if a.Size != "" && a.Size != size.Name {
			continue
		}
		for _, s := range measure.Scenarios() {
			if len(a.Scenario) > 0 && !slices.Contains(a.Scenario, s.Name) {
				continue
			}
			for _, p := range policies {
				if len(a.Policy) > 0 && !slices.Contains(a.Policy, p.Name) {
					continue
				}
				start := time.Now()
				r := measure.Run(size, s, p, a.Seed)
				fmt.Printf("%-12s %-20s %-12s stall %7.3f stalled %.3f batch %.2f speed %.0f in %.3f worth %.3f kept %.3f fl %.2f rec %5.1f loads %.2f ref %.2f pre %.2f bound %.3f/%.3f (%s)\n",
					r.Size, r.Scenario, r.Policy, r.Stall, r.Stalled, r.Batch, r.Speed, r.InTarget, r.Worth, r.Kept, r.Flooder,
					r.Recovery, r.Loads, r.Refused, r.Prefixed, r.Bound, r.OnDemand, time.Since(start).Round(time.Millisecond))
			}
		}
	}
}
