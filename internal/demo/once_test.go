package demo_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/demo"
)

type reply struct {
	Status int
	Header http.Header
	Body   string
}

func post(t *testing.T, addr, path, body string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+demo.CustomerKey)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return reply{Status: resp.StatusCode, Header: resp.Header, Body: string(data)}
}

func TestRepeatedBookingRunsOnceOverAllDaemons(t *testing.T) {
	d := startDemo(t)
	ticketReply := post(t, d.Daemons[0].CallerAddr(), "/v1/tickets", `{"service":"booking"}`)
	qt.Assert(t, ticketReply.Status, qt.Equals, http.StatusCreated)
	var ticket struct {
		Ticket string `json:"ticket"`
	}
	qt.Assert(t, json.Unmarshal([]byte(ticketReply.Body), &ticket), qt.IsNil)
	tests := []struct{ item, name, value string }{
		{"clock-1", "Idempotency-Key", "loan-1"},
		{"clock-2", "X-Celerydeck-Ticket", ticket.Ticket},
	}
	for _, test := range tests {
		body := `{"item":"` + test.item + `"}`
		first := post(t, d.Daemons[1].CallerAddr(), "/services/booking/bookings", body, test.name, test.value)
		qt.Assert(t, first.Status, qt.Equals, http.StatusCreated, qt.Commentf("%s", first.Body))
		for _, daemon := range d.Daemons {
			repeated := post(t, daemon.CallerAddr(), "/services/booking/bookings", body, test.name, test.value)
			qt.Check(t, repeated.Status, qt.Equals, http.StatusCreated)
			qt.Check(t, repeated.Header.Get("X-Celerydeck-Replayed"), qt.Equals, "true")
			qt.Check(t, repeated.Body, qt.Equals, first.Body)
		}
		mismatched := post(t, d.Daemons[0].CallerAddr(), "/services/booking/bookings", `{"item":"board"}`, test.name, test.value)
		qt.Check(t, mismatched.Status, qt.Equals, http.StatusConflict)
		qt.Check(t, mismatched.Header.Get("X-Celerydeck-Outcome"), qt.Equals, "not-run")
		qt.Check(t, d.Booking.Runs(test.item), qt.Equals, 1)
	}
	qt.Check(t, d.Booking.Runs("board"), qt.Equals, 0)
}
