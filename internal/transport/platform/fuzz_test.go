package platform

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// bodyTransport answers every request with the same body.
type bodyTransport struct{ body []byte }

func (b bodyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	r, w := io.Pipe()
	go func() { _, _ = w.Write(b.body); _ = w.Close() }()
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

// fuzzClient returns a client that receives body as every answer.
func fuzzClient(body []byte) *Client {
	c := NewClientWithDial("http://platform", func(context.Context, string, string) (net.Conn, error) { return nil, io.EOF })
	c.http.Transport = bodyTransport{body}
	return c
}

// FuzzPage reads arbitrary bytes as answers of the object API.
func FuzzPage(f *testing.F) {
	for _, text := range []string{`{"revision":3,"objects":[{"key":"k","version":2,"value":"eA=="}]}`, `{"objects":null}`, `{"revision":-1}`, `[]`, ``, `{"objects":[{"value":"?"}]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := fuzzClient(data)
		_, _ = c.List(t.Context(), "once/")
		_, _ = c.Watch(t.Context(), "once/", 0, time.Millisecond)
		o, err := c.Get(t.Context(), "k")
		if err == nil {
			qt.Assert(t, string(o.Value), qt.Equals, string(data))
		}
	})
}

// FuzzVMs reads arbitrary bytes as the VM list. The result holds only usable entries.
func FuzzVMs(f *testing.F) {
	for _, text := range []string{
		`{"vms":[{"id":"e","zone":"z","address":"10.0.0.1:80","kind":"engine","state":"live"}]}`,
		`{"vms":[{"id":"","zone":"z","address":"10.0.0.1:80","kind":"engine"}]}`,
		`{"vms":[{"id":"b","zone":"z","address":"10.0.0.1","kind":"plain","service":"s"}]}`, `{"vms":null}`, `{"vms":[null]}`, `x`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, err := fuzzClient(data).VMs(t.Context())
		for _, vm := range vms {
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, vm.ID != "" && vm.Zone != "" && vm.Address != "", qt.IsTrue)
		}
	})
}
