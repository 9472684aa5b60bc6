package demo_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
)

// callAllVersions requests a completion from every version of every adapter of the demo.
// There are more versions than an engine has slots.
func callAllVersions(t *testing.T, d *demo.Demo, round int) {
	t.Helper()
	for _, adapter := range []string{"blitz", "rapid", "classic", "bughouse", "chess960"} {
		for _, version := range []string{"v1", "v2"} {
			model := fmt.Sprintf("advice/%s@%s", adapter, version)
			c := client(d.Daemons[round%len(d.Daemons)].CallerAddr())
			resp, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
				Model:     openai.CompletionNewParamsModel(model),
				Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("Set the clock")},
				MaxTokens: openai.Int(2),
			})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s in round %d", model, round))
			qt.Assert(t, resp.Model, qt.Equals, model)
		}
	}
}

func TestAdaptersAreSwappedDuringAPlatformOutage(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			t.Parallel()
			opts := demo.DefaultOptions()
			opts.CallerPorts = nil
			opts.Zones = opts.Zones[:1]
			opts.DaemonsPerZone = 2
			opts.EnginesPerZone = 1
			opts.Engine.TokenTime = time.Millisecond
			opts.Engine.Fenced = fenced
			opts.StoreLoadTime = 10 * time.Millisecond
			opts.StoreRate = 0
			opts.DrainGrace = 0
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			d, err := demo.Start(ctx, opts)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { d.Close(context.Background()) })
			qt.Assert(t, d.WaitReady(ctx), qt.IsNil)
			callAllVersions(t, d, 0)
			d.Objects.SetFaults(objectapi.Faults{Down: true})
			time.Sleep(5 * time.Second) // longer than the lease TTL
			callAllVersions(t, d, 1)
			d.Objects.SetFaults(objectapi.Faults{})
			callAllVersions(t, d, 2)
			qt.Assert(t, d.Engines[0].Violations().UnloadWhileServing, qt.Equals, 0)
		})
	}
}
