// Package platform is the client of the object API and the VM list of the platform. It
// limits the rate of its calls and holds them back during outages.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
	"github.com/celerydeck/celerydeck/internal/transport/lenientjson"
)

// Errors of the object API.
var (
	ErrNotFound = errors.New("platform: no such object")
	ErrConflict = errors.New("platform: version conflict")
	ErrTooLarge = errors.New("platform: value over one megabyte")
	// ErrUnknown reports that it is unknown whether a write took effect, for example
	// because no answer came.
	ErrUnknown = errors.New("platform: outcome of the call is unknown")

	errNotSent = errors.New("platform: call was not sent (rate limit of the daemon or outage of the platform)")
)

// MaxValueBytes is the maximum size of the value of an object.
const MaxValueBytes = 1 << 20

const (
	callTimeout         = 5 * time.Second
	maxIdleConnsPerHost = 32
	maxPageBytes        = 64 << 20
	maxHeadBytes        = 64 << 10 // of a response
)

// Version is the version of an object or the revision of a page. An object of version zero
// does not exist.
type Version uint64

// Object is an object of the object store.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	Deleted bool    `json:"deleted"`
}

// Page is the result of a list or a watch. Revision is the revision of the object store at
// which Objects were read.
type Page struct {
	Revision Version  `json:"revision"`
	Objects  []Object `json:"objects"`
}

// ObjectStore is the object API of the platform.
type ObjectStore interface {
	Get(ctx context.Context, key string) (Object, error)
	// Put stores a value and returns the new version of the object. It fails with
	// ErrConflict unless the current version is base. Base 0 creates the object.
	Put(ctx context.Context, key string, value []byte, base Version) (Version, error)
	Delete(ctx context.Context, key string, base Version) error
	List(ctx context.Context, prefix string) (Page, error)
	// Watch returns the changes after a revision. If there are no changes yet, it waits up
	// to the duration wait for the first change.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Page, error)
}

// Client implements ObjectStore over HTTP. It is safe for concurrent use.
type Client struct {
	base          string
	http          *http.Client
	budget        *Budget
	outageBackoff *outageBackoff
}

// NewClient returns a client of the platform at the base URL, such as
// http://10.0.0.1:80.
func NewClient(base string) *Client {
	return NewClientWithDial(base, (&net.Dialer{Timeout: callTimeout, Control: httpconn.ResetOnClose}).DialContext)
}

// DialFunc opens a connection to the platform.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(base string, dial DialFunc) *Client {
	transport := httpconn.CheckHeads(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes,
	})
	return &Client{base: base, http: &http.Client{Transport: transport}, budget: NewBudget(1), outageBackoff: newOutageBackoff()}
}

// Budget returns the budget that all calls of the client share.
func (c *Client) Budget() *Budget { return c.budget }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements ObjectStore.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.call(ctx, http.MethodGet, "/v1/objects/"+key, nil, nil)
	if err != nil {
		return Object{}, eris.Wrapf(err, "get %s", key)
	}
	defer resp.Body.Close()
	if err := statusErr(resp, http.MethodGet); err != nil {
		return Object{}, eris.Wrapf(err, "get %s", key)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return Object{}, eris.Wrapf(err, "get %s", key)
	}
	return Object{Key: key, Version: version(resp), Value: value}, nil
}

// Put implements ObjectStore.
func (c *Client) Put(ctx context.Context, key string, value []byte, base Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "put %s", key)
	}
	return c.write(ctx, http.MethodPut, key, value, base)
}

// Delete implements ObjectStore.
func (c *Client) Delete(ctx context.Context, key string, base Version) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, base)
	return err
}

// write puts or deletes an object, depending on method, if the version of the object is
// base. It returns the new version.
func (c *Client) write(ctx context.Context, method, key string, value []byte, base Version) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := http.Header{}
	if base == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(base), 10)))
	}
	resp, err := c.call(ctx, method, "/v1/objects/"+key, header, value)
	if errors.Is(err, errNotSent) {
		return 0, eris.Wrapf(err, "%s %s", method, key)
	}
	if err != nil {
		return 0, eris.Wrapf(errors.Join(ErrUnknown, err), "%s %s", method, key)
	}
	defer resp.Body.Close()
	if err := statusErr(resp, method); err != nil {
		return 0, eris.Wrapf(err, "%s %s", method, key)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxPageBytes)); err != nil {
		return 0, eris.Wrapf(errors.Join(ErrUnknown, err), "%s %s", method, key)
	}
	return version(resp), nil
}

// List implements ObjectStore.
func (c *Client) List(ctx context.Context, prefix string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.page(ctx, "/v1/list?prefix="+url.QueryEscape(prefix))
}

// Watch implements ObjectStore.
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait", wait.String())
	return c.page(ctx, "/v1/watch?"+query.Encode())
}

func (c *Client) page(ctx context.Context, path string) (Page, error) {
	var page Page
	err := c.getJSON(ctx, path, &page)
	return page, err
}

func (c *Client) getJSON(ctx context.Context, path string, v any) error {
	resp, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return eris.Wrapf(err, "get %s", path)
	}
	defer resp.Body.Close()
	if err := statusErr(resp, http.MethodGet); err != nil {
		return eris.Wrapf(err, "get %s", path)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return eris.Wrapf(err, "read %s", path)
	}
	return eris.Wrapf(lenientjson.Unmarshal(data, v), "decode %s", path)
}

// call waits for the budget and sends a request. Its error wraps errNotSent if the request
// was held back and no part of it was sent.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	kind := CallRead
	if method != http.MethodGet {
		kind = CallWrite
	}
	if err := c.outageBackoff.check(ctx, time.Now()); err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	if err := c.budget.Wait(ctx, kind); err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	c.outageBackoff.record(ctx, time.Now(), resp, err)
	return resp, err
}

// statusErr returns the error for the status of a response, or nil for 200. For a write
// with an unexpected status it returns ErrUnknown.
func statusErr(resp *http.Response, method string) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("platform: status %d", resp.StatusCode)
	}
	if method == http.MethodGet {
		return fmt.Errorf("platform: status %d", resp.StatusCode)
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
}

// version returns the version in the ETag of a response.
func version(resp *http.Response) Version {
	tag, err := strconv.Unquote(resp.Header.Get("ETag"))
	if err != nil {
		return 0
	}
	v, _ := strconv.ParseUint(tag, 10, 64)
	return Version(v)
}

// VM is an entry of the VM list of the platform.
type VM struct {
	ID      string       `json:"id"`
	Zone    state.Zone   `json:"zone"`
	Region  state.Region `json:"region"`
	Address string       `json:"address"`
	Kind    string       `json:"kind"`
	Service string       `json:"service"`
	Base    string       `json:"base"`
	Fenced  bool         `json:"fenced"`
	State   string       `json:"state"`
}

// Kinds and states of VMs.
const (
	VMEntry   = "entry"
	VMEngine  = "engine"
	VMPlain   = "plain"
	VMLive    = "live"
	VMLeaving = "leaving"
)

type vmList struct {
	VMs lenientjson.Slice[VM] `json:"vms"`
}

// VMs reads the platform's list of live and leaving VMs, which may be stale.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list vmList
	err := c.getJSON(ctx, "/v1/vms", &list)
	return usableVMs(list.VMs.Values), err
}

// usableVMs removes incomplete entries and VMs of kinds that the fleet does not use, which
// the platform may list too. It overwrites vms.
func usableVMs(vms []VM) []VM {
	return slices.DeleteFunc(vms, func(vm VM) bool { return !vm.usable() })
}

// usable reports whether an entry of the VM list has a kind that the fleet uses and all
// fields that a daemon needs.
func (vm *VM) usable() bool {
	switch vm.Kind {
	case VMEntry, VMEngine:
	case VMPlain:
		if vm.Service == "" {
			return false
		}
	default:
		return false
	}
	_, text, err := net.SplitHostPort(vm.Address)
	if err != nil || vm.ID == "" || vm.Zone == "" {
		return false
	}
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}
