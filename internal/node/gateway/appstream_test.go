package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/balance"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
	"github.com/celerydeck/celerydeck/internal/node/fleet"
)

// framing writes the head of a stream and the given part of its body. The part is all of the body if the connection stays
// open. The length, where there is one, is that of the whole body.
type framing func(r *http.Request, conn net.Conn, body, part string)

// streamFramings are the ways to mark the end of a response.
var streamFramings = map[string]framing{
	"chunks": func(r *http.Request, conn net.Conn, body, part string) {
		streamHead(r, conn)
		chunk(conn, part)
		if part == body {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return
		}
		_ = conn.Close()
	},
	"a length": func(r *http.Request, conn net.Conn, body, part string) {
		writeStream(r, conn, "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", len(body)), part)
		if part != body {
			_ = conn.Close()
		}
	},
	"neither": func(r *http.Request, conn net.Conn, _, part string) {
		writeStream(r, conn, "HTTP/1.1", "", part)
		_ = conn.Close()
	},
	"HTTP/1.0": func(r *http.Request, conn net.Conn, _, part string) {
		writeStream(r, conn, "HTTP/1.0", "", part)
		_ = conn.Close()
	},
}

func writeStream(r *http.Request, conn net.Conn, protocol, framing, part string) {
	_, _ = fmt.Fprintf(conn, "%s 200 OK\r\nX-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\n%s\r\n%s", protocol, r.Header.Get("X-Request-Id"), signed, framing, part)
}

// eventsAfter returns the events of a stream of three after the one that a request names.
func eventsAfter(r *http.Request) string {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent
	text := ""
	for i := last + 1; i <= 3; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return text
}

const threeEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"

// A stream of a service without models was read whole like a plain response. Where it broke off inside an event, the caller
// got what there was of it as a complete response with a length.
func TestAStreamOfAServiceWithoutModelsThatBreaksOffDoesNotLookComplete(t *testing.T) {
	for name, write := range streamFramings {
		for _, path := range []string{"/appfixed/", "/appstream/", "/fixed/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
					write(r, conn, threeEvents, threeEvents[:len(threeEvents)*5/6])
				})
				w := newFixture(t, u)
				resp, text, err := w.do(path, "x")
				w.Check(resp.StatusCode, qt.Equals, http.StatusOK)
				w.Check(err, qt.IsNotNil)
				w.Check(text, qt.Equals, threeEvents[:len(threeEvents)*2/3], qt.Commentf("whole events only"))
				if strings.Contains(path, "fixed") {
					w.Check(u.arrivals(), qt.Equals, 1)
				}
			})
		}
	}
}

// A stream of a service without models that broke off was not resumed at another upstream.
func TestABrokenStreamOfAServiceWithoutModelsIsResumed(t *testing.T) {
	for name, write := range streamFramings {
		for _, path := range []string{"/appstream/", "/stream/", "/split/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var sends atomic.Int32
				respond := func(_ int, r *http.Request, conn net.Conn) {
					body := eventsAfter(r)
					if sends.Add(1) == 1 {
						write(r, conn, body, body[:len(body)/2])
						return
					}
					write(r, conn, body, body)
				}
				w := newFixture(t, serveUpstream(t, "a", respond), serveUpstream(t, "b", respond))
				_, text, err := w.do(path, "x")
				w.Check(err, qt.IsNil)
				w.Check(text, qt.Equals, threeEvents)
				w.Check(sends.Load(), qt.Equals, int32(2))
			})
		}
	}
}

func TestWholeStreamsAreServedInEachFraming(t *testing.T) {
	for name, write := range streamFramings {
		for _, path := range []string{"/appfixed/", "/appstream/", "/fixed/", "/stream/", "/split/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) { write(r, conn, threeEvents, threeEvents) })
				w := newFixture(t, u)
				for i := range 4 { // also on connections that are used again, and at both services of a split route
					r := w.request(path, "x")
					r.Header.Set("X-Request-Id", fmt.Sprint("q", i))
					resp, err := http.DefaultClient.Do(r)
					w.Assert(err, qt.IsNil)
					text, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					w.Check(err, qt.IsNil)
					w.Check(string(text), qt.Equals, threeEvents)
					w.Check(resp.Header.Get("X-Response-Signature"), qt.Equals, "s")
				}
				w.Check(u.arrivals(), qt.Equals, 4)
			})
		}
	}
}

// Events of a service without models reached the caller only once the stream had ended.
func TestEventsOfAServiceWithoutModelsAreForwardedAsTheyArrive(t *testing.T) {
	received := make(chan struct{})
	u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
		streamHead(r, conn)
		chunk(conn, "id: 1\ndata: one\n\n")
		select {
		case <-received:
		case <-time.After(time.Second):
		}
		chunk(conn, "id: 2\ndata: two\n\n")
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	w := newFixture(t, u)
	begin := time.Now()
	resp, err := http.DefaultClient.Do(w.request("/appfixed/", "x"))
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	first, err := bufio.NewReader(resp.Body).ReadString('\n')
	w.Assert(err, qt.IsNil)
	w.Assert(first, qt.Equals, "id: 1\n")
	w.Assert(time.Since(begin) < 500*time.Millisecond, qt.IsTrue)
	close(received)
}

// A stream with a length was cut off once the caller had got as many bytes as the first response announced, or ended as broken
// although it was whole: the length is not that of a stream that is resumed or of which the caller has a part.
func TestALengthOfAStreamIsNotThatOfItsParts(t *testing.T) {
	for _, path := range []string{"/stream/", "/appstream/"} {
		t.Run("resumed"+path, func(t *testing.T) {
			var sends atomic.Int32
			respond := func(_ int, r *http.Request, conn net.Conn) {
				body := eventsAfter(r)
				if sends.Add(1) == 1 {
					streamFramings["a length"](r, conn, body, body[:len(body)/2])
					return
				}
				body = "x-weight-versions: 2\n" + body
				streamFramings["a length"](r, conn, body, body)
			}
			w := newFixture(t, serveUpstream(t, "a", respond), serveUpstream(t, "b", respond))
			_, text, err := w.do(path, "x")
			w.Check(err, qt.IsNil)
			w.Check(strings.Replace(text, "x-weight-versions: 2\n", "", 1), qt.Equals, threeEvents)
		})
		t.Run("continued"+path, func(t *testing.T) {
			u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
				streamFramings["a length"](r, conn, threeEvents, threeEvents)
			})
			w := newFixture(t, u)
			r := w.request(path, "x")
			r.Header.Set("Last-Event-Id", "2")
			resp, err := http.DefaultClient.Do(r)
			w.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			w.Check(err, qt.IsNil)
			w.Check(string(text), qt.Equals, "id: 3\ndata: piece 3\n\n")
		})
	}
}

// A stream whose events have no ID can't be resumed: the caller got its first events twice.
func TestAStreamWithoutEventIDsIsNotJoinedFromTwoRuns(t *testing.T) {
	for _, path := range []string{"/stream/", "/appstream/"} {
		for name, silence := range map[string]time.Duration{"broken": 0, "stalled": 1800 * time.Millisecond} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				respond := func(_ int, r *http.Request, conn net.Conn) {
					streamHead(r, conn)
					chunk(conn, ": no event\n\nid: 1\ndata: one\n\ndata: two\n\n")
					time.Sleep(silence)
					chunk(conn, "data: three\n\nda")
					_ = conn.Close()
				}
				a, b := serveUpstream(t, "a", respond), serveUpstream(t, "b", respond)
				w := newFixture(t, a, b)
				_, text, err := w.do(path, "x")
				w.Check(err, qt.IsNotNil)
				w.Check(text, qt.Equals, ": no event\n\nid: 1\ndata: one\n\ndata: two\n\ndata: three\n\n")
				w.Check(a.arrivals()+b.arrivals(), qt.Equals, 1)
			})
		}
	}
}

// A caller that resumes a stream may get to the other service of a split route, and must not get an event twice there.
func TestACallerResumesAStreamAtEitherServiceOfASplitRoute(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
		streamFramings["chunks"](r, conn, threeEvents, threeEvents) // ignores Last-Event-Id
	})
	w := newFixture(t, u)
	for i := range 8 {
		r := w.request("/split/", "x")
		r.Header.Set("X-Request-Id", fmt.Sprint("q", i))
		r.Header.Set("Last-Event-Id", "2")
		resp, err := http.DefaultClient.Do(r)
		w.Assert(err, qt.IsNil)
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		w.Check(err, qt.IsNil)
		w.Check(string(text), qt.Equals, "id: 3\ndata: piece 3\n\n")
	}
	services := make(map[string]bool)
	for _, r := range u.seen {
		services[r.Header.Get("X-Expect-Instance")] = true
		w.Check(r.Header.Get("Last-Event-Id"), qt.Equals, "2")
	}
	w.Check(services, qt.HasLen, 2)
}

// The pauses of streams of services without models were in no log line, and must not hold back prompts once they are: such a
// service reads none.
func TestPausesOfAServiceWithoutModelsAreLoggedAndHoldNoPromptsBack(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
		streamHead(r, conn)
		chunk(conn, "id: 1\ndata: one\n\n")
		time.Sleep(100 * time.Millisecond)
		chunk(conn, "id: 2\ndata: two\n\n")
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	var lines bytes.Buffer
	log := decisionlog.New(&lines, "vm")
	w := newFixtureWith(t, fleet.ViewOptions{Log: log}, nil, u)
	r := w.request("/appfixed/", "x")
	r.Header.Set("X-Token-Count", "3000,10")
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	_, err = io.ReadAll(resp.Body)
	w.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	w.view.WithTracker(func(t *balance.Tracker) { w.Check(t.PromptLimit("app"), qt.Equals, 0) })
	w.server.Close()
	log.Close()
	w.Check(lines.String(), qt.Contains, `"stalled":true`)
	w.Check(lines.String(), qt.Contains, `"last_event":2`)
}

// Events of more than 128 kB broke a stream off; at a service without models they came whole before it had streams.
func TestLongEventsAreForwardedWhole(t *testing.T) {
	long := "id: 2\ndata: " + strings.Repeat("x", 1<<20) + "\n\n"
	whole := "id: 1\ndata: one\n\n" + long + "id: 3\ndata: three\n\n"
	for _, path := range []string{"/appfixed/", "/fixed/"} {
		u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) { streamFramings["neither"](r, conn, whole, whole) })
		w := newFixture(t, u)
		_, text, err := w.do(path, "x")
		w.Check(err, qt.IsNil)
		w.Check(text == whole, qt.IsTrue, qt.Commentf("%d of %d bytes", len(text), len(whole)))
	}
}

// An event without an end must not take more memory than a response may.
func TestAnEventWithoutAnEndBreaksTheStreamOff(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
		writeStream(r, conn, "HTTP/1.1", "", "id: 1\ndata: one\n\nid: 2\ndata: ")
		part := []byte(strings.Repeat("x", 1<<20))
		for range 64 {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	})
	w := newFixture(t, u)
	_, text, err := w.do("/appfixed/", "x")
	w.Check(err, qt.IsNotNil)
	w.Check(text, qt.Equals, "id: 1\ndata: one\n\n")
}

// A stalled stream of a service without models was not watched.
func TestAStalledStreamOfAServiceWithoutModelsIsResumed(t *testing.T) {
	var sends atomic.Int32
	respond := func(_ int, r *http.Request, conn net.Conn) {
		streamHead(r, conn)
		if sends.Add(1) == 1 {
			chunk(conn, "id: 1\ndata: piece 1\n\n")
			_, _ = conn.Read(make([]byte, 1)) // silent until the connection is closed
			return
		}
		chunk(conn, eventsAfter(r))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	w := newFixture(t, serveUpstream(t, "a", respond), serveUpstream(t, "b", respond))
	_, text, err := w.do("/appstream/", "x")
	w.Check(err, qt.IsNil)
	w.Check(text, qt.Equals, threeEvents)
}

// An error on a stream route is no stream: it is forwarded whole, in each framing.
func TestAnErrorOfAServiceOnAStreamRouteIsForwardedUnchanged(t *testing.T) {
	for _, path := range []string{"/appfixed/", "/fixed/"} {
		for name, lines := range map[string]string{"a length": "Content-Length: 4\r\n", "neither": "", "chunks": "Transfer-Encoding: chunked\r\n"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
					body := "oops"
					if name == "chunks" {
						body = "4\r\noops\r\n0\r\n\r\n"
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Broken\r\nX-Request-Id: %s\r\n%s%s\r\n%s", r.Header.Get("X-Request-Id"), signed, lines, body)
					_ = conn.Close()
				})
				w := newFixture(t, u)
				resp, text, err := w.do(path, "x")
				w.Check(err, qt.IsNil)
				w.Check(resp.StatusCode, qt.Equals, http.StatusInternalServerError)
				w.Check(text, qt.Equals, "oops")
				w.Check(resp.Header.Get("X-Response-Signature"), qt.Equals, "s")
			})
		}
	}
}

// Streams longer than callers wait for a first event were refused at an idle upstream: their whole time was taken for the
// time until they begin.
func TestLongStreamsOfAServiceWithoutModelsAreNotRefused(t *testing.T) {
	u := serveUpstream(t, "a", func(_ int, r *http.Request, conn net.Conn) {
		streamHead(r, conn)
		chunk(conn, "id: 1\ndata: one\n\n")
		time.Sleep(1700 * time.Millisecond)
		chunk(conn, "id: 2\ndata: two\n\n")
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	w := newFixture(t, u)
	for range 3 {
		done := make(chan int)
		for range 8 {
			go func() {
				resp, _, _ := w.do("/appfixed/", "x")
				done <- resp.StatusCode
			}()
		}
		for range 8 {
			w.Check(<-done, qt.Equals, http.StatusOK)
		}
	}
}
