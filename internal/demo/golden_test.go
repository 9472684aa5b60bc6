package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/demo"
	"github.com/celerydeck/celerydeck/internal/standin/engine"
	"github.com/celerydeck/celerydeck/internal/standin/objectapi"
)

// transcript records a session as callers and engines see it.
type transcript struct {
	t    *testing.T
	d    *demo.Demo
	text strings.Builder
}

func newTranscript(t *testing.T) *transcript {
	t.Helper()
	t.Parallel()
	opts := demo.DefaultOptions()
	opts.Zones = []string{"cascadia-a"}
	opts.CallerPorts, opts.AdminPorts = nil, nil
	opts.EnginesPerZone = 1
	opts.DrainGrace = 200 * time.Millisecond
	opts.Engine.TokenTime = time.Millisecond
	opts.StoreLoadTime = time.Millisecond
	d, err := demo.Start(t.Context(), opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { d.Close(context.Background()) })
	qt.Assert(t, d.WaitReady(t.Context()), qt.IsNil)
	return &transcript{t: t, d: d}
}

func (s *transcript) printf(format string, args ...any) { fmt.Fprintf(&s.text, format, args...) }

// send makes a call and adds the exchange to the transcript.
func (s *transcript) send(method, path, body string, header ...string) {
	s.text.WriteString(s.exchange(method, path, body, header...))
}

// exchange makes a call and returns the request and the response as text.
func (s *transcript) exchange(method, path, body string, header ...string) string {
	var out strings.Builder
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.d.Daemons[0].CallerAddr()+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+demo.CustomerKey)
	fmt.Fprintf(&out, "> %s %s\n", method, path)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
		fmt.Fprintf(&out, "> %s: %s\n", header[i], header[i+1])
	}
	fmt.Fprintf(&out, "> %s\n", body)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	writeAnswer(&out, resp)
	return out.String()
}

func writeAnswer(out *strings.Builder, resp *http.Response) {
	fmt.Fprintf(out, "< %s\n", resp.Status)
	for _, name := range slices.Sorted(maps.Keys(resp.Header)) {
		fmt.Fprintf(out, "< %s: %s\n", name, strings.Join(resp.Header[name], ", "))
	}
	if resp.Close {
		out.WriteString("< Connection: close\n")
	}
	data, err := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		out.WriteString("< " + line)
	}
	if err != nil {
		fmt.Fprintf(out, "< broken: %v\n", err)
	}
	out.WriteString("\n")
}

var (
	noFaults   objectapi.Faults
	downFaults = objectapi.Faults{Down: true}
)

// waitForUnknown waits until the idempotency record of key loan-1 has the state unknown,
// which marks an interrupted call.
func waitForUnknown(t *testing.T, d *demo.Demo) {
	t.Helper()
	key := once.RecordKey("ridgeline", "booking", "loan-1")
	for t.Context().Err() == nil {
		var r once.Record
		o, _ := d.Objects.Get(key)
		if json.Unmarshal(o.Value, &r) == nil && r.State == once.StateUnknown {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// normalizations replace the parts of a transcript that differ between runs.
var normalizations = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`[0-9a-f]{24}`), "ID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"},
	{regexp.MustCompile(`"created":\d+`), `"created":TIME`},
	{regexp.MustCompile(`(?m)^< Date: .*$`), "< Date: TIME"},
	{regexp.MustCompile(`"expires":"[^"]*"`), `"expires":"TIME"`},
	{regexp.MustCompile(`t1\.[A-Za-z0-9_.-]+`), "TICKET"},
}

// check compares the transcript with its golden file.
func (s *transcript) check(name string) {
	for i, e := range s.d.Engines {
		for _, line := range e.Log() {
			s.printf("engine %d: %s\n", i+1, line)
		}
	}
	text := s.text.String()
	for _, v := range normalizations {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	goldie.New(s.t, goldie.WithFixtureDir("testdata/sessions")).Assert(s.t, name, []byte(text))
}

func TestSessionStream(t *testing.T) {
	s := newTranscript(t)
	s.send("POST", "/v1/chat/completions", `{"model":"advice/blitz@v1","stream":true,"max_tokens":3,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"Set the clock"}]}`,
		"X-Celerydeck-Rank", "arbiter")
	s.send("POST", "/v1/completions", `{"model":"advice/blitz","max_tokens":3,"prompt":"Set the clock"}`)
	s.check("stream")
}

func TestSessionPlain(t *testing.T) {
	s := newTranscript(t)
	s.send("POST", "/services/booking/bookings", `{"item":"clock-7"}`, "Idempotency-Key", "loan-1")
	s.send("POST", "/services/booking/bookings", `{"item":"clock-7"}`, "Idempotency-Key", "loan-1")
	s.send("POST", "/services/booking/bookings", `{"item":"clock-8"}`, "Idempotency-Key", "loan-1")
	s.send("POST", "/v1/tickets", `{"service":"booking"}`)
	s.send("GET", "/services/booking/bookings", "")
	s.check("plain")
}

func TestSessionRefused(t *testing.T) {
	s := newTranscript(t)
	s.send("POST", "/v1/completions", `{"model":"advice/unheard","prompt":"x"}`)
	s.send("POST", "/v1/completions", `{"model":"advice/blitz@v9","prompt":"x"}`)
	s.send("POST", "/v1/completions", `{"model":"advice/blitz","prompt":"x"}`, "X-Celerydeck-Rank", "royal")
	s.send("POST", "/services/unheard/x", "")
	s.d.Objects.SetFaults(downFaults)
	s.send("POST", "/services/booking/bookings", `{"item":"clock-7"}`, "Idempotency-Key", "loan-1")
	s.d.Objects.SetFaults(noFaults)
	s.check("refused")
}

func TestSessionUnknown(t *testing.T) {
	s := newTranscript(t)
	s.d.Booking.LoseAnswers(1)
	s.send("POST", "/services/booking/bookings", `{"item":"clock-7"}`, "Idempotency-Key", "loan-1")
	waitForUnknown(t, s.d)
	s.send("POST", "/services/booking/bookings", `{"item":"clock-7"}`, "Idempotency-Key", "loan-1")
	s.check("unknown")
	qt.Check(t, s.d.Booking.Runs("clock-7"), qt.Equals, 1)
}

func TestSessionResumed(t *testing.T) {
	s := newTranscript(t)
	s.d.Engines[0].SetFaults(engine.Faults{Cut: 1})
	s.send("POST", "/v1/completions", `{"model":"advice/blitz@v1","stream":true,"max_tokens":6,"prompt":"Set the clock"}`)
	s.check("resumed")
}

func TestSessionShutdown(t *testing.T) {
	s := newTranscript(t)
	s.d.Engines[0].SetHung(true)
	s.send("POST", "/services/booking/bookings", `{"item":"clock-7"}`)
	s.d.Booking.SetDelay(600 * time.Millisecond)
	inFlight := make(chan string, 1)
	go func() { inFlight <- s.exchange("POST", "/services/booking/bookings", `{"item":"clock-8"}`) }()
	for s.d.Booking.Runs("clock-8") == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.d.Daemons[0].Shutdown(t.Context()) }()
	for s.d.Daemons[0].Ready() {
		time.Sleep(time.Millisecond)
	}
	s.printf("shutdown begins\n\n")
	s.send("POST", "/services/booking/bookings", `{"item":"clock-9"}`)
	s.text.WriteString(<-inFlight)
	s.printf("shutdown ends: %v\n", <-stopped)
	s.check("shutdown")
	qt.Check(t, s.d.Booking.Runs("clock-9"), qt.Equals, 0)
}
