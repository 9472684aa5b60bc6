package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// Guards against a request that is sent to an engine long after the engine began to leave, or left,
// because the request waited for a load there.
func TestARequestThatWaitedForALoadIsNotSentToAnEngineThatLeft(t *testing.T) {
	for name, change := range map[string]func(list []upstreams.Upstream, id state.UpstreamID) []upstreams.Upstream{
		"leaves": func(list []upstreams.Upstream, id state.UpstreamID) []upstreams.Upstream {
			for i := range list {
				list[i].Draining = list[i].ID == id
			}
			return list
		},
		"left": func(list []upstreams.Upstream, id state.UpstreamID) []upstreams.Upstream {
			var kept []upstreams.Upstream
			for _, u := range list {
				if u.ID != id {
					kept = append(kept, u)
				}
			}
			return kept
		},
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(_ int, r *http.Request, w net.Conn) {
				streamHead(r, w)
				chunk(w, "id: 0\ndata: x\n\n")
				_, _ = w.Write([]byte("0\r\n\r\n"))
			}
			servers := map[state.UpstreamID]*upstream{"a-llm": serveUpstream(t, "a", respond), "b-llm": serveUpstream(t, "b", respond)}
			w := newFixture(t, servers["a-llm"], servers["b-llm"])
			w.view.SetLoadable(map[state.UpstreamID]bool{"a-llm": true, "b-llm": true})
			var first state.UpstreamID
			w.loader.requestLoad = func(_ context.Context, msg protocol.LoadRequest) protocol.LoadReply {
				if first != "" {
					return protocol.LoadReply{Accepted: true}
				}
				first = msg.Upstream
				time.AfterFunc(100*time.Millisecond, func() {
					var list []upstreams.Upstream
					for _, u := range w.view.Upstreams() {
						list = append(list, *u)
					}
					w.view.SetUpstreams(time.Now(), change(list, first))
				})
				return protocol.LoadReply{Accepted: true, ReadyIn: 300 * time.Millisecond}
			}
			r := w.request("/fixed/", "x")
			r.Header.Set("X-Model", model+"/rare")
			resp, err := http.DefaultClient.Do(r)
			w.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			w.Assert(err, qt.IsNil)
			w.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			w.Assert(servers[first].arrivals(), qt.Equals, 0)
			w.Assert(servers["a-llm"].arrivals()+servers["b-llm"].arrivals(), qt.Equals, 1)
		})
	}
}

// Guards against a request that its engine rejects, as a newer version of the adapter was announced and loaded while it
// waited for the load of the one before.
func TestARequestExpectsTheVersionThatWasLoadedForIt(t *testing.T) {
	var expected []string
	u := serveUpstream(t, "a", func(_ int, r *http.Request, w net.Conn) {
		expected = append(expected, r.Header.Get("X-Expect-Version"))
		streamHead(r, w)
		chunk(w, "id: 0\ndata: x\n\n")
		_, _ = w.Write([]byte("0\r\n\r\n"))
	})
	w := newFixture(t, u)
	w.view.SetLoadable(map[state.UpstreamID]bool{"a-llm": true})
	w.announce("rare", 2)
	w.loader.requestLoad = func(_ context.Context, msg protocol.LoadRequest) protocol.LoadReply {
		w.Check(msg.Version, qt.Equals, 2)
		return protocol.LoadReply{Accepted: true, ReadyIn: 20 * time.Millisecond, Version: 3}
	}
	r := w.request("/stream/", "x")
	r.Header.Set("X-Model", model+"/rare")
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	w.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	w.Check(expected, qt.DeepEquals, []string{"3"})
}
