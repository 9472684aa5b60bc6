package demo_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
)

// maxCrashes is the maximum number of upstream crashes that one request may cause, however
// often its caller repeats it.
const maxCrashes = 3

func complete(ctx context.Context, c openai.Client, prompt string) (string, error) {
	resp, err := c.Completions.New(ctx, openai.CompletionNewParams{
		Model:     "advice/blitz@v1",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		MaxTokens: openai.Int(8),
	}, option.WithMaxRetries(0))
	var apiErr *openai.Error
	if errors.As(err, &apiErr) {
		return "", errors.New(apiErr.RawJSON())
	}
	if err != nil {
		return "", err
	}
	return resp.Choices[0].Text, nil
}

// testCrashingRequest sends a request that crashes its engine among ordinary requests. The
// crashing request must crash at most maxCrashes engines and then be refused. All ordinary
// requests must succeed.
func testCrashingRequest(t *testing.T, platformDown bool) {
	opts := demo.DefaultOptions()
	opts.CallerPorts, opts.AdminPorts = nil, nil
	opts.Engine.TokenTime = time.Millisecond
	opts.Engine.CrashMarker = "CRASH"
	opts.StoreLoadTime = 5 * time.Millisecond
	d, err := demo.Start(t.Context(), opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(t, d.WaitReady(t.Context()), qt.IsNil)
	if platformDown {
		d.Objects.SetFaults(objectapi.Faults{Down: true})
	}
	var wg sync.WaitGroup
	for i := range 100 {
		c := client(d.Daemons[i%2].CallerAddr())
		wg.Go(func() {
			prompt := fmt.Sprintf("ordinary question %d", i)
			text, err := complete(t.Context(), c, prompt)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, text, qt.Equals, engine.Answer("advice/blitz@v1", prompt, 8))
		})
	}
	for i := range 10 {
		_, err := complete(t.Context(), client(d.Daemons[i%2].CallerAddr()), "please CRASH")
		qt.Check(t, err, qt.IsNotNil)
	}
	wg.Wait()
	_, err = complete(t.Context(), client(d.Daemons[0].CallerAddr()), "please CRASH")
	qt.Check(t, err, qt.ErrorMatches, "(?s).*refused_fingerprint.*")
	crashes := 0
	for _, e := range d.Engines {
		crashes += e.Boots() - 1
	}
	t.Logf("crashes: %d", crashes)
	qt.Check(t, crashes <= maxCrashes, qt.IsTrue, qt.Commentf("crashes %d", crashes))
}

func TestRequestThatCrashesUpstreamsAmongAHundredOrdinaryOnes(t *testing.T) {
	testCrashingRequest(t, false)
}

func TestRequestThatCrashesUpstreamsWhileThePlatformIsDown(t *testing.T) {
	testCrashingRequest(t, true)
}
