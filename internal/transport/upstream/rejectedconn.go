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
	head       []byte // first bytes of the response, up to the status
	isRejected bool
}

// Write implements net.Conn.
func (c *rejectionConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	isRejected := c.isRejected
	c.head = c.head[:0]
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
	if missing := statusEnd - len(c.head); missing > 0 {
		c.head = append(c.head, p[:min(n, missing)]...)
		if len(c.head) == statusEnd {
			status, _ := strconv.Atoi(string(c.head[statusOffset:])) // 0 for bytes that are no response
			c.isRejected = c.isRejected || isRejection(status)
		}
	}
	return n, err
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
