package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

// A caller left immediately after its response. The gateway then closed the upstream connection,
// which another caller's request already used.
func TestTheConnectionOfALeavingCallerIsNotReused(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	pool := httpconn.NewPool()
	u := &upstreams.Upstream{ID: "a", Addr: l.Addr().String()}
	conn, err := pool.Get(context.Background(), u.Addr, false)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{c: &call{g: New(Options{Pool: pool})}, u: u, conn: conn}
	x.stopCallerWatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	cancel()
	x.release(&http.Response{ContentLength: 0}, ResponseMetadata{KeepAlive: time.Minute})
	other, err := pool.Get(context.Background(), u.Addr, false)
	c.Assert(err, qt.IsNil)
	c.Assert(other.Reused, qt.IsFalse)
}
