// Package caller is a small stand-in of the users' callers, for tests: it sends
// requests over connections that it keeps, and says what came back.
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

// Request is what a caller asks.
type Request struct {
	ID       string
	Host     string
	Path     string
	Model    string // with the adapter after a slash; empty for a plain service
	Body     string
	Deadline time.Duration
	Stream   bool
}

// Answer is what came back.
type Answer struct {
	Status    int // 0 if no answer began
	RequestID string
	Signed    bool
	Body      string
	Events    []int // ids of the whole events of a stream, in order
	Complete  bool  // the answer ended as HTTP demands
	Reused    bool  // the request went over a connection that had served others
	Written   bool  // the whole request was sent
	Err       error
	StartedAt time.Time
	EndedAt   time.Time
}

// Caller keeps one connection to an address. It is not safe for concurrent use.
type Caller struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
	served int
}

// New returns a caller that is not connected yet.
func New(addr string) *Caller { return &Caller{addr: addr} }

// Connected reports whether a connection is kept.
func (c *Caller) Connected() bool { return c.conn != nil }

// Close drops the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

const dialTimeout = time.Second

// Send sends a request and reads its answer, for as long as its deadline and a margin.
// It never sends a request twice.
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
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	a.Reused = c.served > 0
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(r.Deadline + margin))
	if _, err := io.WriteString(conn, r.text()); err != nil {
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
	c.served++
	if a.Err != nil || resp.Close {
		c.Close()
	}
	return a
}

func (r Request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Model != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Count: 100,20\r\n", r.Model)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	return b.String()
}

var errEvent = errors.New("an event without a number")

// readEvents returns the ids of the events that came whole.
func readEvents(body io.Reader) ([]int, error) {
	var ids []int
	id := -1
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return ids, nil
		}
		if err != nil {
			return ids, err
		}
		text := strings.TrimRight(line, "\r\n")
		switch value, ok := strings.CutPrefix(text, "id: "); {
		case ok:
			if id, err = strconv.Atoi(value); err != nil {
				return ids, errEvent
			}
		case text == "" && id >= 0:
			ids = append(ids, id)
			id = -1
		}
	}
}
