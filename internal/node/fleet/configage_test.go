package fleet

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/relays"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// withAccounts makes the nodes of a simulation need confirmations within 3 s.
func (s *sim) withAccounts() {
	for _, n := range s.nodes {
		n.opts.View.opts.ConfigApplyTime = 3 * time.Second
		n.opts.View.opts.BootClock = n.opts.BootClock
	}
}

// unconfirmed counts the nodes that do not know whether a version is still the newest.
func (s *sim) unconfirmed(version uint64) int {
	count := 0
	for _, n := range s.nodes {
		if !n.opts.View.IsConfigConfirmed(version) {
			count++
		}
	}
	return count
}

// Guards against daemons that refuse keys with 503 although a daemon of their fleet reads the store,
// and against daemons that confirm each other what none of them has read.
func TestOneReaderConfirmsTheConfigurationForTheFleet(t *testing.T) {
	s := newSim(t, 3, 8)
	s.withAccounts()
	s.rounds(2)
	lead := relays.Of("z0", s.nodes["z0-00"].relayView(s.now))[0]
	reader := s.nodes[lead] // the only one that reaches the store
	reader.applyConfig(&routes.Config{Version: 4}, ConfigOrigin{})
	s.Assert(s.unconfirmed(4), qt.Equals, 24)
	begin := reader.opts.BootClock()
	reader.confirmRead(begin, 0, true, 4)
	s.rounds(5)
	for range 8 {
		const wait = 1500 * time.Millisecond
		for reader.opts.BootClock()-begin < wait {
			s.rounds(1)
			s.Assert(s.unconfirmed(4), qt.Equals, 0)
		}
		reader.confirmRead(begin, wait, false, 4)
		begin = reader.opts.BootClock()
	}
	reader.applyConfig(&routes.Config{Version: 5}, ConfigOrigin{})
	reader.confirmRead(reader.opts.BootClock(), 0, true, 4)
	s.Assert(reader.opts.View.IsConfigConfirmed(4), qt.IsFalse)
	s.rounds(8)
	s.Assert(s.unconfirmed(5), qt.Equals, 0)
	s.rounds(10)
	s.Assert(s.unconfirmed(5), qt.Equals, 24, qt.Commentf("nobody has read the store for more than 3 s"))
	s.nodes["z1-00"].confirmByPeer(0, protocol.StoreRevisions{Config: 5, ConfigAge: -time.Hour})
	s.Assert(s.unconfirmed(5), qt.Equals, 24, qt.Commentf("a late reply confirms the time when it was asked for"))
}

// Guards against a confirmation at a time when the store may not have replied yet.
func TestAReadConfirmsTheTimeOfTheStoresReply(t *testing.T) {
	const asked = 10 * time.Second
	for _, test := range []struct {
		took, wait time.Duration
		hasChanged bool
		want       time.Duration // of the confirmation, after the call was sent
	}{
		{took: time.Second, want: 0},
		{took: 1600 * time.Millisecond, wait: 1500 * time.Millisecond, want: 1500 * time.Millisecond},
		{took: time.Second, wait: 1500 * time.Millisecond, want: 500 * time.Millisecond},
		{took: 1600 * time.Millisecond, wait: 1500 * time.Millisecond, hasChanged: true, want: 1100 * time.Millisecond},
		{took: 100 * time.Millisecond, wait: 1500 * time.Millisecond, hasChanged: true, want: 0},
	} {
		s := newSim(t, 1, 1)
		s.withAccounts()
		n := s.nodes["z0-00"]
		n.applyConfig(&routes.Config{Version: 1}, ConfigOrigin{})
		s.now = time.Unix(0, 0).Add(asked + test.took)
		n.confirmRead(asked, test.wait, test.hasChanged, 1)
		s.Assert(n.opts.BootClock()-n.opts.View.ConfigAge()-asked, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// configStore serves a configuration until it fails.
type configStore struct {
	Store
	config *routes.Config
	fails  atomic.Bool
	wait   atomic.Int64 // of the last watch, a time.Duration
}

var errNoStore = errors.New("no store")

func (s *configStore) Config(context.Context) (*routes.Config, uint64, error) {
	if s.fails.Load() {
		return nil, 0, errNoStore
	}
	return s.config, 7, nil
}

func (s *configStore) WatchConfig(ctx context.Context, _ uint64, wait time.Duration) (*routes.Config, uint64, error) {
	s.wait.Store(int64(wait))
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	if s.fails.Load() {
		return nil, 0, errNoStore
	}
	return nil, 7, ctx.Err()
}

// Guards against a daemon that reads the store and nevertheless takes its configuration for old, and
// against one that takes failed calls for confirmations.
func TestAWatchConfirmsTheConfigurationWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 1, 1)
		n := s.nodes["z0-00"]
		store := &configStore{config: &routes.Config{Version: 1, Accounts: []accounts.Account{{Name: "a"}}}}
		begin := time.Now()
		n.opts.Clock, n.opts.BootClock = time.Now, func() time.Duration { return time.Since(begin) }
		n.opts.Store = store
		s.withAccounts()
		n.ctx, n.cancel = context.WithCancel(t.Context())
		n.storeReachable = true
		n.wg.Go(n.watchConfig)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			s.Assert(n.opts.View.ConfigAge() <= 1600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", n.opts.View.ConfigAge()))
		}
		s.Assert(time.Duration(store.wait.Load()), qt.Equals, 1500*time.Millisecond)
		store.fails.Store(true)
		time.Sleep(6 * time.Second)
		s.Assert(n.opts.View.IsConfigConfirmed(1), qt.IsFalse)
		store.fails.Store(false)
		time.Sleep(2 * time.Second)
		s.Assert(n.opts.View.IsConfigConfirmed(1), qt.IsTrue)
		n.Close()
	})
}
