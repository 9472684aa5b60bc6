// Package upstream is the HTTP client of engines and plain services.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

const (
	bootHeader          = "X-Boot-Id"
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 256
	maxErrorBodyBytes   = 4 << 10 // longer error bodies are truncated
	maxReportBytes      = 4 << 20
	maxHeadBytes        = 64 << 10 // of a response
	contentTypeHeader   = "Content-Type"
	jsonType            = "application/json"
)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	activity activityTable
}

// NewClient returns a client with a connection pool of its own.
func NewClient() *Client {
	return NewClientWithDial((&net.Dialer{Timeout: dialTimeout, Control: httpconn.ResetOnClose}).DialContext)
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(dial DialFunc) *Client {
	transport := httpconn.CheckHeads(&http.Transport{
		DialContext:            watchRejections(dial),
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true, // forward bodies in the encoding of the upstream
	})
	return &Client{
		http:     &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		activity: activityTable{engines: make(map[state.UpstreamID]*engineActivity)},
	}
}

// returnRedirect makes the client return a redirect as the response instead of following
// it.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends a request at most once. The second result reports whether any part of the
// request may have been sent.
//
// When a reused connection breaks, net/http resends a request that has no body and has a
// safe method or an Idempotency-Key header. To prevent this, do gives a request a body that
// net/http cannot rewind or, where such a body would change the encoding, lowercases the
// header.
func (c *Client) do(req *http.Request, body []byte) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	for range maxRejectedConns {
		sent.Store(false)
		req.Body = io.NopCloser(bytes.NewReader(body))
		if len(body) == 0 && sendsEmptyBodyAsChunks(req.Method) {
			req.Body = http.NoBody
			lowercaseIdempotencyKey(req.Header)
		}
		resp, err := c.http.Do(req)
		if !errors.Is(err, errRejectedConn) {
			return resp, sent.Load(), err
		}
	}
	return nil, false, errRejectedConn
}

// sendsEmptyBodyAsChunks reports whether net/http sends an empty body that is not
// http.NoBody with chunked encoding for the given method.
func sendsEmptyBodyAsChunks(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// lowercaseIdempotencyKey changes the names of the idempotency headers to lower case.
// net/http resends requests with such a header, but looks it up only by its canonical
// name. On the wire header names are case-insensitive.
func lowercaseIdempotencyKey(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// transportError classifies the error of a request without a complete response. The
// outcome is unknown if any part of the request was sent.
func transportError(step string, u *state.Upstream, sent bool, err error) *protocol.Error {
	outcome := protocol.OutcomeNotRun
	if sent {
		outcome = protocol.OutcomeUnknown
	}
	var detail *url.Error
	if errors.As(err, &detail) {
		err = detail.Err // omits the URL, which holds the address of the upstream
	}
	kind := protocol.KindUnavailable
	switch {
	case errors.Is(err, context.Canceled):
		kind = protocol.KindCanceled
	case errors.Is(err, context.DeadlineExceeded):
		kind = protocol.KindDeadline
	case sent:
		kind = protocol.KindInterrupted
	}
	return protocol.Errorf(kind, step, outcome, "%v", err).WithPeer(string(u.ID))
}

// statusError returns the error for an error status of an engine. The outcome is unknown
// except for the statuses of isRejection.
func statusError(step string, u *state.Upstream, resp *http.Response) *protocol.Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	kind, outcome := protocol.KindUnavailable, protocol.OutcomeNotRun
	if !isRejection(resp.StatusCode) {
		outcome = protocol.OutcomeUnknown
	}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		kind = protocol.KindBadRequest
	case http.StatusNotFound:
		kind = protocol.KindWrongAdapter
	case http.StatusConflict:
		kind = protocol.KindNotOwner
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = protocol.KindOverloaded
	}
	message := fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	return protocol.Errorf(kind, step, outcome, "%s", message).WithPeer(string(u.ID))
}

// postJSON posts v as JSON. Any status other than 200 is an error.
func (c *Client) postJSON(ctx context.Context, step string, u *state.Upstream, path string, v any) (http.Header, *protocol.Error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, protocol.AsError(err, step)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Addr+path, nil)
	if err != nil {
		return nil, protocol.AsError(err, step)
	}
	req.Header.Set(contentTypeHeader, jsonType)
	resp, sent, err := c.do(req, body)
	if err != nil {
		return nil, transportError(step, u, sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.Header, statusError(step, u, resp)
	}
	// A longer body closes the connection.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes)); err != nil {
		return nil, transportError(step, u, sent, err)
	}
	return resp.Header, nil
}
