// Package caller is a stand-in for callers of the platform's plain services and model
// engines. It sends requests over a kept-alive connection and records the answers.
package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a caller.
type Request struct {
	ID       string
	Host     string
	Path     string
	Model    string // "model/adapter"; empty for a plain service
	Prompt   string // the parts of the prompt, as ID:TOKENS separated by commas; may be empty
	Body     string
	Deadline time.Duration
	Stream   bool
}

// Answer is the answer that the caller received for a request, with its times.
type Answer struct {
	Status    int // 0 if no response headers arrived
	RequestID string
	Signed    bool // the response has an upstream's signature
	Body      string
	Events    []int // ids of the complete events of a stream, in order of arrival
	Complete  bool  // the response ended properly according to HTTP
	Reused    bool  // the connection had carried earlier requests
	Written   bool  // the whole request was sent
	Err       error
	StartedAt time.Time
	EndedAt   time.Time
}

// Caller sends requests over one connection to an address. It is not safe for concurrent
// use.
type Caller struct {
	addr      string
	conn      net.Conn
	reader    *bufio.Reader
	responses int // received on conn
}

// New returns a caller that connects with its first request.
func New(addr string) *Caller { return &Caller{addr: addr} }

// Connected reports whether the caller has an open connection.
func (c *Caller) Connected() bool { return c.conn != nil }

// Close closes the connection, if there is one.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

const dialTimeout = time.Second

// Send sends a request and reads the answer. It gives up at the request's deadline plus
// the margin and never repeats a request.
func (c *Caller) Send(ctx context.Context, r Request, margin time.Duration) (a Answer) {
	a.StartedAt = time.Now()
	defer func() { a.EndedAt = time.Now() }()
	if c.conn == nil {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", c.addr)
		if err != nil {
			a.Err = fmt.Errorf("dial: %w", err)
			return a
		}
		c.conn, c.reader, c.responses = conn, bufio.NewReader(conn), 0
	}
	a.Reused = c.responses > 0
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(r.Deadline + margin))
	if _, err := io.WriteString(conn, r.wireFormat()); err != nil {
		a.Err = fmt.Errorf("send: %w", err)
		c.Close()
		return a
	}
	a.Written = true
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.Err = fmt.Errorf("read answer: %w", err)
		c.Close()
		return a
	}
	defer resp.Body.Close()
	a.Status, a.RequestID = resp.StatusCode, resp.Header.Get("X-Request-Id")
	a.Signed = resp.Header.Get("X-Response-Signature") != ""
	if r.Stream && resp.StatusCode == http.StatusOK {
		a.Events, a.Err = readEvents(resp.Body)
	} else {
		var body []byte
		body, a.Err = io.ReadAll(resp.Body)
		a.Body = string(body)
	}
	a.Complete = a.Err == nil
	c.responses++
	if a.Err != nil || resp.Close {
		c.Close()
	}
	return a
}

// wireFormat returns the request as it is sent in HTTP/1.1.
func (r Request) wireFormat() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Model != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Count: 100,20\r\n", r.Model)
	}
	if r.Prompt != "" {
		fmt.Fprintf(&b, "X-Prompt-Prefix: %s\r\n", r.Prompt)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	return b.String()
}

var errEventID = errors.New("event without a numeric id")

// readEvents returns the ids of the complete events of a server-sent event stream.
func readEvents(body io.Reader) ([]int, error) {
	var ids []int
	id := -1
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) { // also within a line: the response has ended in order
			return ids, nil
		}
		if err != nil {
			return ids, err
		}
		text := strings.TrimRight(line, "\r\n")
		switch value, ok := strings.CutPrefix(text, "id: "); {
		case ok:
			if id, err = strconv.Atoi(value); err != nil {
				return ids, errEventID
			}
		case text == "" && id >= 0:
			ids = append(ids, id)
			id = -1
		}
	}
}
