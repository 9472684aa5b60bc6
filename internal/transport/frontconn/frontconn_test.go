package frontconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/clientbudget"
)

func testLimits() clientbudget.Limits { return clientbudget.CallerLimits(136<<20, 2870) }

// serve starts a server behind a guard and returns its address.
func serve(t testing.TB, g *Guard, h http.HandlerFunc) string {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: h}
	Attach(s)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Serve(Listen(inner, g)) }()
	go g.Sweep(ctx, func() {})
	t.Cleanup(func() {
		cancel()
		_ = s.Close()
	})
	return inner.Addr().String()
}

func dial(t testing.TB, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// echo answers with the length of the body and its sum.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %d %x %d", r.URL.Path, len(body), sum(body), len(r.Header["A"])) // the client may have left
}

func sum(body []byte) (s uint32) {
	for _, b := range body {
		s = s*31 + uint32(b)
	}
	return s
}

// Guards against a connection that takes the end of a head or body elsewhere than net/http, whatever the
// pieces in which requests arrive: bytes would be lost, or a request would wait for bytes that never come.
func TestRequestsInAnyPiecesAreServed(t *testing.T) {
	g := NewGuard(testLimits())
	addr := serve(t, g, echo)
	rnd := rand.New(rand.NewPCG(1, 2))
	for round := range 60 {
		var text, want bytes.Buffer
		var requests int
		for k := range 1 + rnd.IntN(12) {
			requests++
			body := make([]byte, rnd.IntN(9000))
			for i := range body {
				body[i] = "\r\n0aZ"[rnd.IntN(5)]
			}
			fields := rnd.IntN(900)
			head := strings.Repeat("A:\r\n", fields)
			end := []string{"\r\n", "\n"}[rnd.IntN(2)]
			path := fmt.Sprintf("/%d", k)
			switch rnd.IntN(3) {
			case 0:
				body = nil
				fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: h%s%s%s", path, end, head, end)
			case 1:
				fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s%s%s", path, len(body), head, end, body)
			case 2:
				fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n%s\r\n", path, head)
				for rest := body; len(rest) > 0; {
					n := 1 + rnd.IntN(len(rest))
					fmt.Fprintf(&text, "%X;a=0\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				text.WriteString([]string{"0\r\n\r\n", "000\r\nT: 1\r\n\r\n"}[rnd.IntN(2)])
			}
			fmt.Fprintf(&want, "%s %d %x %d\n", path, len(body), sum(body), fields)
		}
		conn := dial(t, addr)
		pieces := rand.New(rand.NewPCG(3, uint64(round)))
		go func() {
			for rest := text.Bytes(); len(rest) > 0; {
				n := min(len(rest), 1+pieces.IntN(6000))
				if pieces.IntN(3) == 0 {
					n = min(n, 5)
				}
				_, _ = conn.Write(rest[:n]) // a failure shows in the responses
				rest = rest[n:]
				if pieces.IntN(4) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}()
		var got strings.Builder
		r := bufio.NewReader(conn)
		for range requests {
			resp, err := http.ReadResponse(r, nil)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("round %d, got %s of %s", round, got.String(), want.String()))
			body, err := io.ReadAll(resp.Body)
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
			got.Write(append(body, '\n'))
		}
		qt.Assert(t, got.String(), qt.Equals, want.String())
		_ = conn.Close()
	}
	eventually(t, "memory returned", func() bool { return g.Memory(clientbudget.Heads).Used() == 0 && g.Connections() == 0 })
}

// Guards against limits that refuse the largest request that the configuration allows.
func TestTheLargestLegalRequestIsServed(t *testing.T) {
	g := NewGuard(testLimits())
	g.SetMaxHead(16384 * 5 / 4)
	addr := serve(t, g, echo)
	conn := dial(t, addr)
	go func() {
		_, _ = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n"+strings.Repeat("A:\r\n", 3500)+"\r\n")
		_, _ = conn.Write(make([]byte, 4<<20)) // a failure shows in the response
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	qt.Assert(t, string(body), qt.Equals, "/x 4194304 0 3500")
}

// Guards against a refusal, which promises that the request has not run, for a request that a handler sees.
func TestARequestThatIsRefusedIsNotServed(t *testing.T) {
	var handled atomic.Int64
	for name, c := range map[string]struct {
		fields, status int
	}{"head too long": {30000, http.StatusRequestHeaderFieldsTooLarge}, "no memory": {3000, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(testLimits())
			addr := serve(t, g, func(http.ResponseWriter, *http.Request) { handled.Add(1) })
			qt.Assert(t, g.take(nil, clientbudget.Heads, g.limits.HeadMemory*3/4, 0, 0), qt.IsTrue)
			conn := dial(t, addr)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", c.fields))
			if err == nil {
				_, _ = io.WriteString(conn, "\r\n") // the head may have been refused before
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil { // otherwise the connection was reset, as bytes were left unread
				qt.Assert(t, resp.StatusCode, qt.Equals, c.status)
				_ = resp.Body.Close()
			}
			_, err = conn.Read(make([]byte, 1))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, handled.Load(), qt.Equals, int64(0))
			eventually(t, "memory returned", func() bool { return g.Memory(clientbudget.Heads).Used() == g.limits.HeadMemory*3/4 })
		})
	}
}

// Guards against memory that stalled clients keep from a client that arrives.
func TestAStalledClientGivesWayToAnother(t *testing.T) {
	g := NewGuard(testLimits())
	bodies := g.Memory(clientbudget.Bodies)
	addr := serve(t, g, func(_ http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if need := g.limits.BodyMemory * 3 / 4; r.URL.Path == "/stalls" && bodies.Take(c, need, 0, 0) {
			_, _ = io.Copy(io.Discard, r.Body)
			bodies.Release(c, need)
		}
	})
	conn := dial(t, addr)
	_, err := io.WriteString(conn, "POST /stalls HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx")
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "memory taken", func() bool { return bodies.Used() > 0 })
	eventually(t, "room for another", func() bool { return bodies.Take(nil, g.limits.BodyMemory/2, 0, time.Second) })
	qt.Assert(t, g.Closed(clientbudget.BodiesShort), qt.Equals, int64(1))
}

// Guards against clients that keep a connection without sending or reading.
func TestSlowClientsAreClosed(t *testing.T) {
	limits := testLimits()
	limits.HeadTimeout, limits.StallTimeout = 300*time.Millisecond, 300*time.Millisecond
	for name, c := range map[string]struct {
		reason clientbudget.Reason
		text   string
	}{
		"head": {clientbudget.HeadTooSlow, "GET / HTTP/1.1\r\nHost: h\r\n"},
		// net/http accepts an empty line after a POST.
		"head after empty lines": {clientbudget.HeadTooSlow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\nG"},
		"body":                   {clientbudget.BodyTooSlow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nx"},
		"response":               {clientbudget.ResponseTooSlow, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(limits)
			failed := make(chan struct{})
			addr := serve(t, g, func(w http.ResponseWriter, r *http.Request) {
				defer close(failed)
				_, err := io.Copy(io.Discard, r.Body)
				for err == nil && r.URL.Path == "/long" {
					_, err = w.Write(make([]byte, 1<<20))
				}
			})
			conn := dial(t, addr)
			_, err := io.WriteString(conn, c.text)
			qt.Assert(t, err, qt.IsNil)
			eventually(t, "closed", func() bool { return g.Closed(c.reason) == 1 && g.Connections() == 0 })
			if c.reason != clientbudget.HeadTooSlow {
				<-failed // the handler's read or write fails
			}
		})
	}
}
