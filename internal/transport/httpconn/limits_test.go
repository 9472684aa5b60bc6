package httpconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http/httpguts"
)

const (
	floodBytes = 1 << 30 // sent by an upstream that does not stop
	// maxFloodMemory bounds the memory allocated while a head without end is read.
	maxFloodMemory = 2 << 20
)

// floodConn is a connection whose peer sends a prefix and then repeats a pattern up to
// floodBytes.
type floodConn struct {
	net.Conn
	prefix string
	repeat string
	sent   int
}

func (c *floodConn) Read(p []byte) (int, error) {
	if c.sent >= floodBytes {
		return 0, io.EOF
	}
	n := 0
	if c.sent < len(c.prefix) {
		n = copy(p, c.prefix[c.sent:])
	}
	for n < len(p) {
		at := (c.sent + n - len(c.prefix)) % len(c.repeat)
		n += copy(p[n:], c.repeat[at:])
	}
	c.sent += n
	return n, nil
}

func (*floodConn) Close() error                { return nil }
func (*floodConn) SetDeadline(time.Time) error { return nil }

// Guards against a daemon that runs out of memory because an upstream sends a response head
// that never ends.
func TestAResponseHeadWithoutEndIsNotReadWhole(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		flood floodConn
		want  error
	}{
		"no status line":    {floodConn{repeat: "x"}, ErrMalformedHead},
		"status line":       {floodConn{prefix: "HTTP/1.1 200 ", repeat: "x"}, ErrHeadTooLarge},
		"name":              {floodConn{prefix: status, repeat: "x"}, ErrHeadTooLarge},
		"header line":       {floodConn{prefix: status + "X-A: ", repeat: "x"}, ErrHeadTooLarge},
		"headers":           {floodConn{prefix: status, repeat: "X-A: b\r\n"}, ErrHeadTooLarge},
		"continuation":      {floodConn{prefix: status + "X-A: b\r\n", repeat: " c\r\n"}, ErrMalformedHead},
		"interim responses": {floodConn{repeat: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"}, ErrHeadTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			flood := test.flood
			conn := newConn(&flood)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
			runtime.ReadMemStats(&after)
			c.Assert(err, qt.ErrorIs, test.want)
			if resp != nil {
				_ = resp.Body.Close()
			}
			c.Assert(flood.sent <= maxHeadBytes+readBufferBytes, qt.IsTrue, qt.Commentf("%d bytes were read", flood.sent))
			c.Assert(after.TotalAlloc-before.TotalAlloc < maxFloodMemory, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
		})
	}
}

// Guards against a body that counts towards the limit of the head.
func TestABodyMayBeLongerThanAHead(t *testing.T) {
	c := qt.New(t)
	conn := newConn(&floodConn{prefix: "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", repeat: "x"})
	resp, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(len(body), qt.Equals, 1000000)
}

// Guards against an interim response that is taken for the response.
func TestInterimResponsesAreSkipped(t *testing.T) {
	c := qt.New(t)
	conn := newConn(&floodConn{prefix: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", repeat: "x"})
	resp, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusNoContent)
}

// Guards against trailers and chunk sizes without end.
func TestAChunkedBodyWithoutEndDoesNotFillTheMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, flood := range map[string]floodConn{
		"chunk size":      {prefix: head, repeat: "0"},
		"chunk extension": {prefix: head + "1;", repeat: "x"},
		"tiny chunks":     {prefix: head, repeat: "1;" + strings.Repeat("x", 512) + "\r\ny\r\n"},
		"trailer line":    {prefix: head + "1\r\ny\r\n0\r\nX-A: ", repeat: "x"},
		"trailers":        {prefix: head + "1\r\ny\r\n0\r\n", repeat: "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn := newConn(&flood)
			resp, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = io.Copy(io.Discard, resp.Body)
			runtime.ReadMemStats(&after)
			c.Assert(err, qt.IsNotNil)
			c.Assert(flood.sent < floodBytes, qt.IsTrue)
			c.Assert(after.TotalAlloc-before.TotalAlloc < maxFloodMemory, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
		})
	}
}

// scriptedConn is a connection that delivers fixed bytes.
type scriptedConn struct {
	net.Conn
	r *bytes.Reader
}

func (c scriptedConn) Read(p []byte) (int, error)  { return c.r.Read(p) }
func (scriptedConn) Close() error                  { return nil }
func (scriptedConn) SetDeadline(_ time.Time) error { return nil }

// FuzzReadResponse reads arbitrary bytes as responses. The head never takes more than its
// limit, and neither an interim response nor one with a malformed head is returned.
func FuzzReadResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "no protocol at all\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 +20 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 1\r\n\r\nx", "HTTP/1.1 103 Hints\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n\nx", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA B: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("A: b\r\n", maxHeadBytes/4),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := newConn(scriptedConn{r: bytes.NewReader(data)})
		resp, err := conn.ReadResponse(&http.Request{Method: http.MethodGet})
		if errors.Is(err, ErrHeadTooLarge) {
			qt.Assert(t, len(data) >= maxHeadBytes, qt.IsTrue)
		}
		if err != nil {
			return
		}
		qt.Assert(t, resp.StatusCode >= 200 && resp.StatusCode <= maxStatus, qt.IsTrue)
		for name := range resp.Header {
			qt.Assert(t, httpguts.ValidHeaderFieldName(name), qt.IsTrue, qt.Commentf("%q", name))
		}
		_, _ = io.Copy(io.Discard, resp.Body) // arbitrary bytes may break off
		_ = resp.Body.Close()
	})
}
