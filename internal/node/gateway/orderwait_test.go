package gateway_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// Requests use more rare adapters than a lease holder may load at the same time, so a load may
// wait too long for its order.
func TestALoadThatIsNotOrderedInTimeIsRequestedAtAnotherEngine(t *testing.T) {
	respond := func(_ int, r *http.Request, w net.Conn) {
		streamHead(r, w)
		chunk(w, "id: 0\ndata: x\n\n")
		_, _ = w.Write([]byte("0\r\n\r\n"))
	}
	w := newFixture(t, serveUpstream(t, "a", respond), serveUpstream(t, "b", respond))
	w.view.SetLoadable(map[state.UpstreamID]bool{"a-llm": true, "b-llm": true})
	var mu sync.Mutex
	var requestedAt []state.UpstreamID
	w.loader.requestLoad = func(ctx context.Context, msg protocol.LoadRequest) protocol.LoadReply {
		mu.Lock()
		requestedAt = append(requestedAt, msg.Upstream)
		first := len(requestedAt) == 1
		mu.Unlock()
		if first {
			<-ctx.Done() // the load waits behind others
			return protocol.LoadReply{Reason: ctx.Err().Error()}
		}
		return protocol.LoadReply{Accepted: true}
	}
	r := w.request("/stream/", "x")
	r.Header.Set("X-Model", model+"/rare")
	begin := time.Now()
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	w.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	w.Assert(time.Since(begin) < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
	mu.Lock()
	defer mu.Unlock()
	w.Assert(requestedAt, qt.HasLen, 2)
	w.Assert(requestedAt[0], qt.Not(qt.Equals), requestedAt[1])
}
