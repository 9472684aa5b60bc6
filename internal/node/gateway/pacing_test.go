package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// pacer stands for the lease holders of all engines. Without a function, none answers.
type pacer struct {
	reserve func(msg protocol.PromptReservation) protocol.PromptReservationReply

	mu    sync.Mutex
	asked []state.UpstreamID
}

func (p *pacer) ReservePrompt(_ context.Context, msg protocol.PromptReservation) (protocol.PromptReservationReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, msg.Upstream)
	if p.reserve == nil {
		return protocol.PromptReservationReply{}, false
	}
	reply := p.reserve(msg)
	return reply, reply.Known
}

// newPacedFixture returns a fixture with two engines and the route /paced/, whose streams allow
// pauses of 300 ms.
func newPacedFixture(t *testing.T) *fixture {
	respond := func(_ int, r *http.Request, w net.Conn) {
		streamHead(r, w)
		chunk(w, "id: 0\ndata: x\n\n")
		_, _ = w.Write([]byte("0\r\n\r\n"))
	}
	return newPacedFixtureAt(t, serveUpstream(t, "a", respond), serveUpstream(t, "b", respond))
}

// newPacedFixtureAt is newPacedFixture with other engines.
func newPacedFixtureAt(t *testing.T, list ...*upstream) *fixture {
	w := newFixture(t, list...)
	w.view.SetConfig(&routes.Config{
		Version: 2,
		Routes: []routes.Route{{
			Name: "paced", Host: "127.0.0.1", Prefix: "/paced/", Kind: routes.Stream, Timeout: 2 * time.Second, Goal: 400 * time.Millisecond,
			GapGoal: 300 * time.Millisecond, Resumable: true, Attempts: 2, Targets: []routes.Target{{Service: "llm", Weight: 1}},
		}},
		Services: map[string]routes.Service{"llm": {Name: "llm", Engine: &routes.EngineSpec{Slots: 8, KVTokens: 1 << 20}}},
	})
	return w
}

func (w *fixture) doPaced() (status int, took time.Duration) {
	resp, took := w.doPacedFor("a1")
	return resp.StatusCode, took
}

// doPacedFor sends a request for an adapter to /paced/, with further headers as names and values, and
// reads the response to its end.
func (w *fixture) doPacedFor(adapter string, headers ...string) (response, time.Duration) {
	r := w.request("/paced/", "x")
	r.Header.Set("X-Model", model+"/"+adapter)
	r.Header.Set("X-Token-Count", "1200,80")
	for pair := range slices.Chunk(headers, 2) {
		r.Header.Set(pair[0], pair[1])
	}
	begin := time.Now()
	resp, err := http.DefaultClient.Do(r)
	w.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	w.Assert(err, qt.IsNil)
	return response{resp.StatusCode, resp.Header, resp.Close}, time.Since(begin)
}

// Guards against a request that waits at a crowded engine while another one has room.
func TestAPromptWithoutRoomGoesToAnotherEngine(t *testing.T) {
	w := newPacedFixture(t)
	w.pacer.reserve = func(protocol.PromptReservation) protocol.PromptReservationReply {
		if len(w.pacer.asked) == 1 {
			return protocol.PromptReservationReply{Known: true, Delay: time.Second}
		}
		return protocol.PromptReservationReply{Known: true, Accepted: true}
	}
	status, _ := w.doPaced()
	w.Assert(status, qt.Equals, http.StatusOK)
	w.Assert(w.pacer.asked, qt.HasLen, 2)
	w.Assert(w.pacer.asked[0], qt.Not(qt.Equals), w.pacer.asked[1])
}

// Guards against a request that waits for its deadline although no engine has room for its prompt, and
// against one that is refused after the first lease holder.
func TestAPromptThatNoEngineHasRoomForIsRefusedAtOnce(t *testing.T) {
	w := newPacedFixture(t)
	w.pacer.reserve = func(protocol.PromptReservation) protocol.PromptReservationReply {
		return protocol.PromptReservationReply{Known: true, Delay: 3 * time.Second}
	}
	status, took := w.doPaced()
	w.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	w.Assert(len(w.pacer.asked) > 1, qt.IsTrue)
	w.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

// Guards against requests that fail because a lease holder is cut off.
func TestAPromptIsSentIfNoLeaseHolderAnswers(t *testing.T) {
	w := newPacedFixture(t)
	status, _ := w.doPaced()
	w.Assert(status, qt.Equals, http.StatusOK)
	w.Assert(w.pacer.asked, qt.HasLen, 1)
}
