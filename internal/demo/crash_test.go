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

// chat sends a conversation of a system message and a question.
func chat(ctx context.Context, c openai.Client, system, question string) error {
	_, err := c.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model:     "advice/blitz@v1",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage(system), openai.UserMessage(question)},
		MaxTokens: openai.Int(8),
	}, option.WithMaxRetries(0))
	var apiErr *openai.Error
	if errors.As(err, &apiErr) {
		return errors.New(apiErr.RawJSON())
	}
	return err
}

// TestRequestsThatShareACrashingMessageAreRefused guards against requests that crash one engine
// after the other because they share a message and nothing else.
func TestRequestsThatShareACrashingMessageAreRefused(t *testing.T) {
	const (
		stableTime = 3 * time.Second // after the fifth crash, in which further requests may be sent
		maxLate    = 3               // crashes after stableTime
	)
	opts := demo.DefaultOptions()
	opts.CallerPorts, opts.AdminPorts = nil, nil
	opts.Engine.TokenTime = time.Millisecond
	opts.Engine.CrashMarker = "CRASH"
	opts.StoreLoadTime = 5 * time.Millisecond
	d, err := demo.Start(t.Context(), opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(t, d.WaitReady(t.Context()), qt.IsNil)
	crashes := func() int {
		n := 0
		for _, e := range d.Engines {
			n += e.Boots() - 1
		}
		return n
	}
	n := 0
	pair := func() {
		c := client(d.Daemons[n%2].CallerAddr())
		qt.Check(t, chat(t.Context(), c, "please CRASH", fmt.Sprint("question ", n)), qt.IsNotNil)
		qt.Check(t, chat(t.Context(), c, "please answer", fmt.Sprint("question ", n)), qt.IsNil)
		n++
	}
	for crashes() < 5 && n < 20 {
		pair()
	}
	time.Sleep(stableTime)
	before := crashes()
	for range 10 {
		pair()
	}
	qt.Check(t, crashes()-before <= maxLate, qt.IsTrue, qt.Commentf("%d crashes before, %d in all", before, crashes()))
	qt.Check(t, chat(t.Context(), client(d.Daemons[0].CallerAddr()), "please CRASH", "again"), qt.ErrorMatches, "(?s).*refused_fingerprint.*")
}
