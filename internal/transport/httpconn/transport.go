package httpconn

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// defaultDialTimeout bounds a dial, including the handshake of TLS, where a transport brings no
// dial function of its own.
const defaultDialTimeout = 10 * time.Second

// errForeignResponse reports a response whose head came before its request was sent.
var errForeignResponse = errors.New("httpconn: the response was on the connection before its request")

// checkedTransport is an http.Transport that checks response heads.
type checkedTransport struct{ *http.Transport }

// CheckHeads returns base with a check of all response heads. Requests fail with ErrMalformedHead
// if the head of the response, or of an interim response before it, is not allowed; their
// connection is closed. CheckHeads replaces the dial functions of base, which must not be in use
// yet and must not ask for HTTP/2. Responses over TLS through a proxy are not checked, as base opens
// their connections itself.
func CheckHeads(base *http.Transport) http.RoundTripper {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	dial, tlsDial := base.DialContext, base.DialTLSContext
	if dial == nil {
		dial = dialer.DialContext
	}
	if tlsDial == nil {
		tlsDial = (&tls.Dialer{NetDialer: dialer, Config: base.TLSClientConfig}).DialContext
	}
	base.DialContext, base.DialTLSContext = scanned(dial), scanned(tlsDial)
	return checkedTransport{base}
}

// scanned makes dial return connections that check response heads.
func scanned(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &scannedConn{stickyConn: newStickyConn(conn), scanner: &headScanner{}}, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *scannedConn
	var scanner *headScanner
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*scannedConn); conn != nil {
			scanner = conn.expectResponse()
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if conn == nil {
		return resp, err
	}
	isWhole, headErr := conn.state(scanner)
	switch {
	case headErr != nil:
		err = headErr
	case err != nil:
		return nil, shorten(err)
	case !isWhole:
		err = errForeignResponse
		_ = conn.Close()
	default:
		hideTrailer(resp)
		return resp, nil
	}
	if resp != nil {
		_ = resp.Body.Close()
	}
	return nil, err
}

// scannedConn is a connection that carries one request at a time. Reads fail from a byte on that
// is not allowed in a response head.
type scannedConn struct {
	*stickyConn

	mu         sync.Mutex
	scanner    *headScanner // of the response to the present request
	hasRequest bool         // a request has begun, so that another goroutine reads
}

// expectResponse begins a new response, and returns its scanner.
func (c *scannedConn) expectResponse() *headScanner {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner, c.hasRequest = &headScanner{}, true
	return c.scanner
}

// state returns whether a scanner of this connection has read a whole head, and its error.
func (c *scannedConn) state(s *headScanner) (isWhole bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.state == afterHead, s.err
}

// Read implements net.Conn.
func (c *scannedConn) Read(p []byte) (int, error) {
	if _, err := c.scan(nil); err != nil { // net/http may have dropped the error
		return 0, err
	}
	n, err := c.stickyConn.Read(p)
	if n, scanErr := c.scan(p[:n]); scanErr != nil {
		return n, scanErr
	}
	return n, err
}

// Write implements net.Conn. When a write has failed, net/http closes the connection, also if it carries a response
// that has not been read. A write that fails with the connection therefore returns only once nothing is left to read.
func (c *scannedConn) Write(p []byte) (int, error) {
	n, err := c.stickyConn.Write(p)
	c.mu.Lock()
	hasRequest := c.hasRequest
	c.mu.Unlock()
	if hasRequest && isConnError(err) {
		c.awaitReads()
	}
	return n, err
}

func (c *scannedConn) scan(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.scan(p)
}
