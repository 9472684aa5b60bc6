package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Responses of engines and services are matched with requests by their order on a connection
// alone. A delayed second copy of a rejection would be taken for the response to the next
// request, and that request would be sent again although it runs. A connection that has
// carried a rejection is therefore not used for another request.

// errRejectedConn reports that a request was not sent because its connection has carried a
// rejection. No part of the request was sent.
var errRejectedConn = errors.New("upstream: the connection has carried a rejection")

// maxRejectedConns is the number of such connections that one request may meet.
const maxRejectedConns = 16

const (
	statusOffset = len("HTTP/1.1 ")
	statusEnd    = statusOffset + 3
)

// watchRejections makes dial return connections that refuse a request after a rejection.
func watchRejections(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &rejectionConn{Conn: conn}, nil
	}
}

// rejectionConn is a connection to an upstream that carries one request at a time.
type rejectionConn struct {
	net.Conn

	mu         sync.Mutex
	head       headScanner
	isRejected bool
}

// Write implements net.Conn.
func (c *rejectionConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	isRejected := c.isRejected
	c.head = headScanner{text: c.head.text[:0]}
	c.mu.Unlock()
	if isRejected {
		return 0, errRejectedConn
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *rejectionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.scan(p[:n])
	c.isRejected = c.isRejected || isRejection(c.head.status)
	return n, err
}

// headScanner finds the status of a response, behind any interim responses. The zero value is at the beginning of a
// response.
type headScanner struct {
	status      int    // of the response, 0 until it is known and for bytes that are no response
	text        []byte // first bytes of the present head, up to the status
	isDone      bool   // the status has been read
	isInterim   bool   // the present head is that of an interim response
	isEmptyLine bool   // the present line of it has no bytes yet
}

// scan reads further bytes of the response.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.isDone {
		if s.isInterim {
			p = s.skipInterim(p)
			continue
		}
		n := min(len(p), statusEnd-len(s.text))
		s.text, p = append(s.text, p[:n]...), p[n:]
		if len(s.text) < statusEnd {
			return
		}
		status, _ := strconv.Atoi(string(s.text[statusOffset:])) // 0 for bytes that are no response
		s.isInterim = status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
		s.isDone = !s.isInterim
		if s.isDone {
			s.status = status
		}
		s.text = s.text[:0]
	}
}

// skipInterim skips bytes up to the end of the head of an interim response, and returns the others.
func (s *headScanner) skipInterim(p []byte) []byte {
	for i, b := range p {
		switch {
		case b == '\n' && s.isEmptyLine:
			s.isInterim, s.isEmptyLine = false, false
			return p[i+1:]
		case b == '\n':
			s.isEmptyLine = true
		case b != '\r':
			s.isEmptyLine = false
		}
	}
	return nil
}

// isRejection reports whether an engine answers with a status to a request of which it ran no part.
func isRejection(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound, http.StatusConflict,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
