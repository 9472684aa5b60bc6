package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

// Guards against a request that counts as not run, and is sent again, although it runs: the
// delayed second copy of a rejection is taken for the response to the next request.
func TestADelayedCopyOfARejectionIsNotTakenForTheNextResponse(t *testing.T) {
	ref := state.AdapterRef{Service: "a", Adapter: "b", Version: "v1"}
	calls := map[string]*protocol.Call{
		"model": {RequestID: "q", Model: &protocol.ModelCall{Adapter: ref, Body: []byte(`{"prompt":"x"}`)}},
		"plain": {RequestID: "q", Plain: &protocol.PlainCall{Method: http.MethodPost, Path: "/"}},
	}
	answers := map[string]string{
		"model": `data: {"model":"` + ref.String() + `","boot_id":"boot","offset":0,"choices":[{"text":"x","finish_reason":"stop"}],"usage":{"prompt_tokens":1}}` + "\n\ndata: [DONE]\n\n",
		"plain": "booked",
	}
	for kind, call := range calls {
		for _, status := range []int{http.StatusNotFound, http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			testCopyOfRejection(t, kind, call, answers[kind], status, "")
			testCopyOfRejection(t, kind, call, answers[kind], status, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n")
		}
	}
}

// testCopyOfRejection sends requests to an upstream that rejects the first one, and repeats the rejection before the
// response to the next one on the connection. Interim responses stand before the rejection.
func testCopyOfRejection(t *testing.T, kind string, call *protocol.Call, answer string, status int, interim string) {
	t.Run(fmt.Sprintf("%s/%d, interim %v", kind, status, interim != ""), func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		rejection := interim + fmt.Sprintf("HTTP/1.1 %d Rejected\r\nContent-Length: 0\r\n\r\n", status)
		var received, runs atomic.Int32
		serve := func(conn net.Conn) {
			defer conn.Close()
			r := bufio.NewReader(conn)
			isRejected := false
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if received.Add(1) == 1 {
					isRejected = true
					_, _ = io.WriteString(conn, rejection)
					continue
				}
				if isRejected {
					_, _ = io.WriteString(conn, rejection)
				}
				runs.Add(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Boot-Id: boot\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			}
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go serve(conn)
			}
		}()
		client := upstream.NewClient()
		defer client.Close()
		u := &state.Upstream{ID: "engine", Addr: l.Addr().String()}
		send := func() (*protocol.Error, int) {
			s := &statusSink{}
			run := client.Plain
			if call.Model != nil {
				run = client.Complete
			}
			err := run(t.Context(), u, call, s)
			return err, s.status
		}
		callErr, got := send()
		qt.Assert(t, callErr != nil || got == status, qt.IsTrue)
		for range 3 {
			callErr, got = send()
			qt.Assert(t, callErr, qt.Equals, (*protocol.Error)(nil))
			qt.Assert(t, got, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, runs.Load(), qt.Equals, int32(3))
	})
}

// statusSink keeps the status of an answer.
type statusSink struct {
	discardSink
	status int
}

func (s *statusSink) Head(h protocol.Head) error { s.status = h.Status; return nil }
