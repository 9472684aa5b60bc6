package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// rejection returns the bytes of a rejection of the request with an ID.
func rejection(id string) string {
	return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against a request that runs twice: the delayed second copy of the rejection of its first
// attempt has the same request ID as the response to its second attempt.
func TestADelayedCopyOfARejectionIsNotTakenForTheNextResponse(t *testing.T) {
	for _, path := range []string{"/once/", "/fixed/"} {
		t.Run(path, func(t *testing.T) {
			rejected := make(map[net.Conn]bool) // connections on which a rejection was sent
			runs := 0
			u := serveUpstream(t, "a", func(n int, r *http.Request, w net.Conn) {
				if n == 1 {
					rejected[w] = true
					_, _ = io.WriteString(w, rejection("q1"))
					return
				}
				if rejected[w] {
					_, _ = io.WriteString(w, rejection("q1"))
				}
				runs++
				if path == "/once/" {
					ok(r, w, "answer")
					return
				}
				streamHead(r, w)
				chunk(w, "id: 0\ndata: answer\n\n")
				_, _ = io.WriteString(w, "0\r\n\r\n")
			})
			w := newFixture(t, u)
			w.view.SetLoadable(map[state.UpstreamID]bool{"a-llm": true})
			w.loader.requestLoad = func(context.Context, protocol.LoadRequest) protocol.LoadReply {
				return protocol.LoadReply{Accepted: true} // the load takes longer than estimated
			}
			r := w.request(path, "x")
			r.Header.Set("X-Model", model+"/rare")
			resp, err := http.DefaultClient.Do(r)
			qt.Assert(t, err, qt.IsNil)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Assert(t, string(text), qt.Contains, "answer")
			qt.Assert(t, runs, qt.Equals, 1)
		})
	}
}
