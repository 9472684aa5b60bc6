// Package upstream speaks HTTP to engines and plain services.
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
)

const (
	bootHeader     = "X-Boot-Id"
	dialTimeout    = 2 * time.Second
	idlePerHost    = 256
	maxErrorBody   = 4 << 10
	maxReport      = 4 << 20
	contentTypeKey = "Content-Type"
	jsonType       = "application/json"
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	progress progressTable
}

// NewClient returns a client with its own pool of connections.
func NewClient() *Client {
	return NewClientWithDial((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(dial DialFunc) *Client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true, // answers are passed on as they are
	}
	return &Client{
		http:     &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		progress: progressTable{engines: make(map[state.UpstreamID]*engineProgress)},
	}
}

// keepRedirect hands redirects to the caller instead of following them.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends a request once. The result reports whether a byte may have left.
//
// net/http sends a request again on its own when a reused connection breaks and
// the request looks replayable: it has no body and either a safe method or an
// Idempotency-Key header. A body that can't be rewound prevents this.
func (c *Client) do(req *http.Request, body []byte) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	if len(body) == 0 && mayHaveBody(req.Method) {
		req.Body = http.NoBody
		hideIdempotencyKey(req.Header)
	}
	resp, err := c.http.Do(req)
	return resp, sent.Load(), err
}

// mayHaveBody reports whether net/http would send an empty body as chunks.
func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// hideIdempotencyKey renames the key to lower case, which is the same field on the
// wire, but which net/http does not take for a permit to repeat the request.
func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// transportError classifies a failed exchange with an upstream.
func transportError(step string, u *state.Upstream, sent bool, err error) *protocol.Error {
	outcome := protocol.OutcomeNotRun
	if sent {
		outcome = protocol.OutcomeUnknown
	}
	var detail *url.Error
	if errors.As(err, &detail) {
		err = detail.Err // without the address
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

// statusError turns an error status of an engine into an Error. Engines refuse
// with these statuses before they run anything.
func statusError(step string, u *state.Upstream, resp *http.Response) *protocol.Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	kind, outcome := protocol.KindUnavailable, protocol.OutcomeNotRun
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		kind = protocol.KindBadRequest
	case http.StatusNotFound:
		kind = protocol.KindWrongAdapter
	case http.StatusConflict:
		kind = protocol.KindNotOwner
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = protocol.KindOverloaded
	default:
		outcome = protocol.OutcomeUnknown
	}
	message := fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	return protocol.Errorf(kind, step, outcome, "%s", message).WithPeer(string(u.ID))
}

// postJSON posts a value and expects status 200.
func (c *Client) postJSON(ctx context.Context, step string, u *state.Upstream, path string, v any) (http.Header, *protocol.Error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, protocol.AsError(err, step)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Addr+path, nil)
	if err != nil {
		return nil, protocol.AsError(err, step)
	}
	req.Header.Set(contentTypeKey, jsonType)
	resp, sent, err := c.do(req, body)
	if err != nil {
		return nil, transportError(step, u, sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.Header, statusError(step, u, resp)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header, nil
}
