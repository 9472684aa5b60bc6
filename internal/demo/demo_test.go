package demo_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
)

// startDemo starts a fast deployment and closes it at the end of the test.
func startDemo(t *testing.T) *demo.Demo {
	t.Helper()
	t.Parallel()
	opts := demo.DefaultOptions()
	opts.CallerPorts = nil
	opts.DrainGrace = 0
	opts.Engine.TokenTime = time.Millisecond
	opts.StoreLoadTime = 10 * time.Millisecond
	opts.StoreRate = 0
	return startWith(t, opts)
}

// startWith starts a deployment and closes it at the end of the test.
func startWith(t *testing.T, opts demo.Options) *demo.Demo {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d, err := demo.Start(ctx, opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(t, d.WaitReady(ctx), qt.IsNil)
	return d
}

func client(addr string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+addr+"/v1"), option.WithAPIKey(demo.CustomerKey))
}

func TestOpenAIClientStreamsFromTwoVersionsConcurrently(t *testing.T) {
	d := startDemo(t)
	var wg sync.WaitGroup
	for i, model := range []string{"advice/blitz@v1", "advice/blitz@v2"} {
		c := client(d.Daemons[i].CallerAddr())
		wg.Go(func() {
			stream := c.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
				Model:     model,
				MaxTokens: openai.Int(20),
				Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Set the clock")},
			})
			var text strings.Builder
			for stream.Next() {
				for _, choice := range stream.Current().Choices {
					text.WriteString(choice.Delta.Content)
				}
			}
			qt.Check(t, stream.Err(), qt.IsNil)
			qt.Check(t, text.String(), qt.Equals, engine.Answer(model, "Set the clock", 20))
		})
	}
	wg.Wait()
}

func TestOpenAIClientGetsACompletionWithoutStreaming(t *testing.T) {
	d := startDemo(t)
	c := client(d.Daemons[1].CallerAddr())
	resp, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model:     "advice/rapid",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("Set the clock")},
		MaxTokens: openai.Int(8),
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Model, qt.Equals, "advice/rapid@v2")
	qt.Assert(t, resp.Choices[0].Text, qt.Equals, engine.Answer("advice/rapid@v2", "Set the clock", 8))
	qt.Assert(t, resp.Usage.CompletionTokens, qt.Equals, int64(8))
}

func TestPlainServiceBooksOnce(t *testing.T) {
	d := startDemo(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+d.Daemons[0].CallerAddr()+"/services/booking/bookings", strings.NewReader(`{"item":"clock-7"}`))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+demo.CustomerKey)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusCreated)
	qt.Assert(t, d.Booking.Runs("clock-7"), qt.Equals, 1)
}
