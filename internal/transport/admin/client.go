package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/report"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

const maxAnswerBytes = 512 << 20

// APIError is an error answer of a daemon.
type APIError struct {
	Status int         `json:"status"`
	Detail ErrorDetail `json:"error"`
}

// Error returns the kind, step, peer and message on one line.
func (e *APIError) Error() string {
	err := protocol.Error{Kind: e.Detail.Code, Step: e.Detail.Step, Peer: e.Detail.Peer, Message: e.Detail.Message}
	return err.Error()
}

// UnreachableError reports that no daemon answered.
type UnreachableError struct {
	Addrs []string
	Err   error // error of the call to the last address
}

// Error returns the addresses and the last error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon answered at %v: %v", e.Addrs, e.Err)
}

// Unwrap returns the last error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls the API for operators. It sends each call to one daemon after another until
// a daemon answers. This is safe because all calls of the API may be repeated.
type Client struct {
	addrs []string
	key   string
	http  *http.Client
}

// NewClient returns a client of the daemons at addrs. Each address is host:port or a URL.
func NewClient(addrs []string, key string) *Client {
	return &Client{addrs: addrs, key: key, http: httpconn.NewClient()}
}

// TrustOnlyCAs makes the client trust only the given CAs at https addresses.
func (c *Client) TrustOnlyCAs(cas *x509.CertPool) {
	c.http.Transport = httpconn.CheckHeads(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: cas, MinVersion: tls.VersionTLS13}})
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Config reads a revision of the configuration, or the revision in force if revision is 0.
func (c *Client) Config(ctx context.Context, revision uint64) (ConfigBody, error) {
	path := "/config"
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	var body ConfigBody
	err := c.call(ctx, http.MethodGet, path, nil, &body)
	return body, err
}

// Submit proposes changes of the configuration.
func (c *Client) Submit(ctx context.Context, s configsync.Submission) (configsync.Accepted, error) {
	var accepted configsync.Accepted
	err := c.call(ctx, http.MethodPost, "/submissions", s, &accepted)
	return accepted, err
}

// Progress reads the number of daemons on which a revision is in force.
func (c *Client) Progress(ctx context.Context, revision uint64) (configsync.Progress, error) {
	var progress configsync.Progress
	err := c.call(ctx, http.MethodGet, "/progress/"+strconv.FormatUint(revision, 10), nil, &progress)
	return progress, err
}

// History reads the newest revisions, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]configsync.RevisionInfo, error) {
	var body HistoryBody
	err := c.call(ctx, http.MethodGet, "/history?limit="+strconv.Itoa(limit), nil, &body)
	return body.Revisions, err
}

// Fleet reads the status of all daemons.
func (c *Client) Fleet(ctx context.Context) (protocol.FleetView, error) {
	var view protocol.FleetView
	err := c.call(ctx, http.MethodGet, "/fleet", nil, &view)
	return view, err
}

// Explain reads an explanation of the decisions about a model, a rank or an upstream.
func (c *Client) Explain(ctx context.Context, q protocol.ExplainQuery) (protocol.Explanation, error) {
	query := url.Values{}
	for name, value := range map[string]string{"model": q.Model, "rank": q.Rank, "upstream": string(q.Upstream)} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var explanation protocol.Explanation
	err := c.call(ctx, http.MethodGet, "/explain?"+query.Encode(), nil, &explanation)
	return explanation, err
}

// Handover reads the state of the fleet and its changes since a point in time.
func (c *Client) Handover(ctx context.Context, since time.Time) (*report.Handover, error) {
	query := url.Values{"since": {since.UTC().Format(time.RFC3339)}}
	var handover report.Handover
	err := c.call(ctx, http.MethodGet, "/handover?"+query.Encode(), nil, &handover)
	return &handover, err
}

// Notes reads the notes, oldest first.
func (c *Client) Notes(ctx context.Context) ([]protocol.Note, error) {
	var body NotesBody
	err := c.call(ctx, http.MethodGet, "/notes", nil, &body)
	return body.Notes, err
}

// AddNote adds a note for other operators.
func (c *Client) AddNote(ctx context.Context, text string) (protocol.Note, error) {
	var note protocol.Note
	err := c.call(ctx, http.MethodPost, "/notes", NoteBody{Text: text, Key: rand.Text()}, &note)
	return note, err
}

// Drain starts the drain of an upstream or a daemon, which then receives no new work.
func (c *Client) Drain(ctx context.Context, kind protocol.DrainKind, subject, reason string) (protocol.Drain, error) {
	var drain protocol.Drain
	err := c.call(ctx, http.MethodPut, drainPath(kind, subject), DrainBody{Reason: reason}, &drain)
	return drain, err
}

// Undrain ends the drain of an upstream or a daemon.
func (c *Client) Undrain(ctx context.Context, kind protocol.DrainKind, subject string) error {
	return c.call(ctx, http.MethodDelete, drainPath(kind, subject), nil, nil)
}

func drainPath(kind protocol.DrainKind, subject string) string {
	return "/drains/" + string(kind) + "/" + url.PathEscape(subject)
}

// call sends a request to each daemon in turn until one answers.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	var last error
	for _, addr := range c.addrs {
		resp, err := c.send(ctx, addr, method, path, data)
		if err != nil {
			last = err
			continue
		}
		return decode(resp, reply)
	}
	return &UnreachableError{Addrs: c.addrs, Err: last}
}

func (c *Client) send(ctx context.Context, addr, method, path string, body []byte) (*http.Response, error) {
	if u, err := url.Parse(addr); err != nil || u.Host == "" {
		addr = "http://" + addr
	}
	req, err := http.NewRequestWithContext(ctx, method, addr+Prefix+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	return c.http.Do(req)
}

// decode decodes the body of a successful answer into reply. For an error answer it returns
// an APIError. A nil reply discards the body.
func decode(resp *http.Response, reply any) error {
	defer resp.Body.Close()
	reader := io.LimitReader(resp.Body, maxAnswerBytes)
	if resp.StatusCode == http.StatusOK {
		if reply == nil {
			return nil
		}
		return json.NewDecoder(reader).Decode(reply)
	}
	var body ErrorBody
	if err := json.NewDecoder(reader).Decode(&body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("status %d without a valid error body", resp.StatusCode)
	}
	return &APIError{Status: resp.StatusCode, Detail: body.Error}
}
