package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that runs twice, or gets another request's response: bytes left over
// from an earlier request on the connection bear no request ID.
func TestAResponseWithoutAnIDOnAReusedConnectionIsNotTrusted(t *testing.T) {
	for name, late := range map[string]string{
		"rejection": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"success":   "HTTP/1.1 200 OK\r\nX-Response-Signature: o\r\nContent-Length: 5\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			u := serveUpstream(t, "a", func(n int, r *http.Request, w net.Conn) {
				if n > 1 {
					_, _ = io.WriteString(w, late)
				}
				ok(r, w, "answer")
			})
			w := newFixture(t, u)
			resp, _, err := w.do("/once/", "x")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
			resp, text, err := w.do("/once/", "x")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, text, qt.Not(qt.Equals), "other")
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("the request may have run"))
			qt.Assert(t, u.arrivals(), qt.Equals, 2)
		})
	}
}
