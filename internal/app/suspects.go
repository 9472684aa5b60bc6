package app

import (
	"time"

	"go.uber.org/fx"

	"github.com/celerydeck/celerydeck/internal/node/suspects"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

func newSuspects(lc fx.Lifecycle, s Settings, client *platform.Client, pool *peer.Pool, members *membersRef) *suspects.Node {
	n := suspects.New(suspects.Options{
		Self:    state.DaemonID(s.ID),
		Objects: client,
		Peers:   pool,
		Members: members,
		Clock:   time.Now,
		Rand:    newRand(),
	})
	lc.Append(fx.StartStopHook(n.Start, n.Close))
	return n
}
