package demo_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"

	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
)

const faultTokens = 24

// streamAnswer streams a completion and returns its text and the error that ended it.
func streamAnswer(t *testing.T, addr, model, prompt string) (string, error) {
	t.Helper()
	c := client(addr)
	stream := c.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
		Model:     openai.CompletionNewParamsModel(model),
		MaxTokens: openai.Int(faultTokens),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	})
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String(), stream.Err()
}

func TestAnswersAreCompleteDespiteEngineFaults(t *testing.T) {
	d := startDemo(t)
	tests := []struct {
		name   string
		faults engine.Faults
	}{
		{"duplicated", engine.Faults{Duplicate: true}},
		{"reordered", engine.Faults{Reorder: true}},
		{"duplicated and reordered", engine.Faults{Duplicate: true, Reorder: true}},
		{"cut", engine.Faults{Cut: 1}},
		{"wrong model", engine.Faults{WrongModel: 1}},
		{"early end", engine.Faults{EarlyEnd: 1}},
		{"refused", engine.Faults{Refuse: 1}},
		{"boot changed", engine.Faults{ChangeBoot: 1}},
		{"all at once", engine.Faults{Duplicate: true, Reorder: true, Cut: 1, ChangeBoot: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, e := range d.Engines {
				e.SetFaults(engine.Faults{Duplicate: test.faults.Duplicate, Reorder: test.faults.Reorder})
			}
			d.Engines[0].SetFaults(test.faults)
			for i := range 6 {
				prompt := fmt.Sprintf("%s %d", test.name, i)
				text, err := streamAnswer(t, d.Daemons[i%2].CallerAddr(), "advice/blitz@v1", prompt)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, text, qt.Equals, engine.Answer("advice/blitz@v1", prompt, faultTokens))
			}
		})
	}
}

// Reports of other operators: an earlier refusal that is written once more refuses another request, the text of an error
// stands in the middle of a stream, and a head that was cut short becomes a whole answer.
func TestAnswersAreCompleteDespiteFaultyHeads(t *testing.T) {
	d := startDemo(t)
	for name, faults := range map[string]engine.Faults{
		"refusal written once more": {Refuse: 100, RepeatRefusal: true},
		"error on resume":           {Cut: 3, ErrorOnResume: http.StatusInternalServerError},
		"not found on resume":       {Cut: 3, ErrorOnResume: http.StatusNotFound},
		"text on resume":            {Cut: 3, ErrorOnResume: http.StatusOK},
		"nothing on resume":         {Cut: 3, ErrorOnResume: http.StatusNoContent},
		"head cut short":            {CutHead: 3},
	} {
		t.Run(name, func(t *testing.T) {
			for _, e := range d.Engines {
				e.SetFaults(engine.Faults{})
			}
			d.Engines[0].SetFaults(faults)
			attempts := func() (sum int) {
				for _, e := range d.Engines {
					sum += e.AllAttempts()
				}
				return sum
			}
			before := attempts()
			const requests = 24
			for i := range requests {
				prompt := fmt.Sprintf("%s %d", name, i)
				text, err := streamAnswer(t, d.Daemons[i%2].CallerAddr(), "advice/blitz@v1", prompt)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, text, qt.Equals, engine.Answer("advice/blitz@v1", prompt, faultTokens))
			}
			if faults.RepeatRefusal {
				qt.Check(t, attempts()-before, qt.Equals, requests, qt.Commentf("each request runs once"))
			}
		})
	}
}

func TestStreamResumesAfterEngineRestart(t *testing.T) {
	d := startDemo(t)
	for i := range 4 {
		prompt := fmt.Sprintf("restart %d", i)
		done := make(chan struct{})
		go func() {
			defer close(done)
			waitForRunning(t, d, 1)
			for _, e := range d.Engines {
				if e.Running() > 0 {
					e.Restart()
				}
			}
		}()
		text, err := streamAnswer(t, d.Daemons[i%2].CallerAddr(), "advice/rapid@v1", prompt)
		<-done
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, text, qt.Equals, engine.Answer("advice/rapid@v1", prompt, faultTokens))
	}
}

// waitForRunning waits until the given number of requests runs on all engines together.
func waitForRunning(t *testing.T, d *demo.Demo, want int) {
	t.Helper()
	for t.Context().Err() == nil {
		running := 0
		for _, e := range d.Engines {
			running += e.Running()
		}
		if running == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestDisconnectOfTheCallerCancelsTheRequestAtTheEngine(t *testing.T) {
	d := startDemo(t)
	for _, e := range d.Engines {
		e.SetHung(true)
	}
	for i := range d.Daemons {
		ctx, disconnect := context.WithCancel(t.Context())
		req := completionRequest(ctx, t, d.Daemons[i].CallerAddr(), `{"model":"advice/blitz@v1","prompt":"x","stream":true}`)
		failed := make(chan error, 1)
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			failed <- err
		}()
		waitForRunning(t, d, 1)
		disconnect()
		qt.Check(t, errors.Is(<-failed, context.Canceled), qt.IsTrue)
		waitForRunning(t, d, 0)
	}
}

func completionRequest(ctx context.Context, t *testing.T, addr, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+demo.CustomerKey)
	return req
}

func TestDeadlineEndsAHungRequest(t *testing.T) {
	d := startDemo(t)
	for _, e := range d.Engines {
		e.SetHung(true)
	}
	for i := range d.Daemons {
		got := post(t, d.Daemons[i].CallerAddr(), "/v1/completions", `{"model":"advice/blitz@v1","prompt":"x"}`, "X-Celerydeck-Timeout", "300ms")
		qt.Check(t, got.Status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", got.Body))
		qt.Check(t, got.Header.Get("X-Celerydeck-Outcome"), qt.Equals, "unknown")
		waitForRunning(t, d, 0)
	}
}

func TestLostPlainAnswerIsReportedAsUnknownOutcome(t *testing.T) {
	d := startDemo(t)
	d.Booking.LoseAnswers(1)
	got := post(t, d.Daemons[0].CallerAddr(), "/services/booking/bookings", `{"item":"clock-9"}`)
	qt.Check(t, got.Status, qt.Equals, http.StatusBadGateway)
	qt.Check(t, got.Header.Get("X-Celerydeck-Outcome"), qt.Equals, "unknown")
	qt.Check(t, got.Header.Get("X-Should-Retry"), qt.Equals, "false")
	qt.Check(t, d.Booking.Runs("clock-9"), qt.Equals, 1)
}
