package demo_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/celerydeck/celerydeck/internal/standin/engine"
)

func TestHungEngineDoesNotKeepARequest(t *testing.T) {
	d := startDemo(t)
	c := client(d.Daemons[0].CallerAddr())
	ask := func() (string, error) {
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
	text, err := ask()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, want)
	for _, e := range d.Engines {
		e.SetHung(e.Served() > 0)
	}
	text, err = ask()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, want)
}
