package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/standin/holdlink"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/upstream"
)

// Guards against a request or an order that is executed after it was given up: a link that was cut
// delivers what it held back, unless the connection was reset.
func TestACallThatIsGivenUpNeverReachesTheUpstream(t *testing.T) {
	plain := func(size int) func(context.Context, *upstream.Client, *state.Upstream) *protocol.Error {
		return func(ctx context.Context, client *upstream.Client, u *state.Upstream) *protocol.Error {
			call := &protocol.Call{RequestID: "r", Plain: &protocol.PlainCall{Method: http.MethodPost, Path: "/", Body: make([]byte, size)}}
			return client.Plain(ctx, u, call, discardSink{})
		}
	}
	for name, call := range map[string]func(context.Context, *upstream.Client, *state.Upstream) *protocol.Error{
		"request":                  plain(10),
		"request with a long body": plain(1 << 20),
		"order": func(ctx context.Context, client *upstream.Client, u *state.Upstream) *protocol.Error {
			_, err := client.Load(ctx, u, state.AdapterRef{}, "", 1)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var arrivals atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals.Add(1) }))
			defer server.Close()
			link, err := holdlink.New(server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer link.Close()
			client := upstream.NewClient()
			defer client.Close()
			link.Cut()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan *protocol.Error)
			go func() { ended <- call(ctx, client, &state.Upstream{ID: "u", Addr: link.Addr}) }()
			link.AwaitHeld(1)
			cancel()
			c.Assert(<-ended, qt.Not(qt.Equals), (*protocol.Error)(nil))
			link.AwaitEnds(1)
			link.Heal()
			link.AwaitFlushed(1)
			c.Assert(link.DeliveredLate(), qt.Equals, 0)
			c.Assert(arrivals.Load(), qt.Equals, int32(0))
		})
	}
}
