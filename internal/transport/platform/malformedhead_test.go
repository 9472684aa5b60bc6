package platform

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/rawserver"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

// Guards against objects, versions and VMs that are believed although their head is no response head.
func TestAnAnswerOfThePlatformWithAMalformedHeadIsNotBelieved(t *testing.T) {
	const body = `{"revision":3,"objects":[{"key":"k","version":2,"value":"eA=="}],"vms":[{"id":"e","zone":"z","address":"10.0.0.1:80","kind":"engine","state":"live"}]}`
	for _, status := range []string{"200 OK", "404 None", "412 Conflict"} {
		for name := range rawserver.Malformed(status, body) {
			c := qt.New(t)
			note := qt.Commentf("%s, %s", status, name)
			s, err := rawserver.Listen(func(*http.Request) string { return rawserver.Malformed(status, body, `ETag: "4"`)[name] })
			c.Assert(err, qt.IsNil)
			client := func() *Client { return NewClient("http://" + s.Addr()) } // a client backs off after a failure
			_, err = client().Get(t.Context(), "k")
			c.Check(err, qt.ErrorIs, httpconn.ErrMalformedHead, note)
			version, err := client().Put(t.Context(), "k", []byte("x"), 3)
			c.Check(err, qt.ErrorIs, ErrUnknown, note)
			c.Check(version, qt.Equals, Version(0), note)
			c.Check(client().Delete(t.Context(), "k", 3), qt.ErrorIs, ErrUnknown, note)
			_, err = client().List(t.Context(), "")
			c.Check(err, qt.ErrorIs, httpconn.ErrMalformedHead, note)
			_, err = client().Watch(t.Context(), "", 0, 0)
			c.Check(err, qt.ErrorIs, httpconn.ErrMalformedHead, note)
			vms, err := client().VMs(t.Context())
			c.Check(err, qt.ErrorIs, httpconn.ErrMalformedHead, note)
			c.Check(vms, qt.HasLen, 0, note)
			s.Close()
		}
	}
}
