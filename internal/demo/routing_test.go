package demo_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
)

func TestRequestIsServedDespiteAHungEngine(t *testing.T) {
	d := startDemo(t)
	c := client(d.Daemons[0].CallerAddr())
	requestCompletion := func() (string, error) {
		resp, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
			Model:     "advice/rapid@v1",
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("Set the clock")},
			MaxTokens: openai.Int(8),
		})
		if err != nil {
			return "", err
		}
		return resp.Choices[0].Text, nil
	}
	want := engine.Answer("advice/rapid@v1", "Set the clock", 8)
	text, err := requestCompletion()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, want)
	for _, e := range d.Engines {
		e.SetHung(e.Served() > 0)
	}
	text, err = requestCompletion()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, want)
}

func TestAdaptersLoadWithinTheLimitsOfTheStore(t *testing.T) {
	opts := demo.DefaultOptions()
	opts.CallerPorts, opts.AdminPorts = nil, nil
	opts.Engine.TokenTime = time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d, err := demo.Start(ctx, opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(t, d.WaitReady(ctx), qt.IsNil)
	c := client(d.Daemons[0].CallerAddr())
	for _, model := range []string{"advice/blitz@v1", "advice/rapid@v1", "advice/classic@v1"} {
		resp, err := c.Completions.New(ctx, openai.CompletionNewParams{
			Model:     openai.CompletionNewParamsModel(model),
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("Set the clock")},
			MaxTokens: openai.Int(4),
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Choices[0].Text, qt.Equals, engine.Answer(model, "Set the clock", 4))
	}
}
