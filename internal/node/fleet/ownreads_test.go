package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
	"github.com/celerydeck/celerydeck/internal/coordination/continuity"
	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/state/upstreams"
)

// changingStore holds one configuration, one adapter and no upstreams. Each call takes a few milliseconds.
type changingStore struct {
	Store
	mu        sync.Mutex
	revision  uint64
	config    uint64 // version
	changed   chan struct{}
	changedAt time.Time
}

func newChangingStore() *changingStore {
	return &changingStore{revision: 100, config: 1, changed: make(chan struct{})}
}

// change writes a new version of the configuration and of the adapter.
func (s *changingStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.config++
	s.changedAt = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *changingStore) read() (version, revision uint64, changed chan struct{}) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.revision, s.changed
}

func (s *changingStore) Config(context.Context) (*routes.Config, uint64, error) {
	version, revision, _ := s.read()
	return &routes.Config{Version: version, Accounts: []accounts.Account{{Name: "a"}}}, revision, nil
}

func (s *changingStore) WatchConfig(ctx context.Context, after uint64, wait time.Duration) (*routes.Config, uint64, error) {
	if s.awaitChange(ctx, after, wait) {
		return s.Config(ctx)
	}
	return nil, after, ctx.Err()
}

func (s *changingStore) AdapterVersions(context.Context) ([]upstreams.Version, uint64, error) {
	version, revision, _ := s.read()
	return []upstreams.Version{{Adapter: upstreams.Adapter{Model: "m", Name: "a1"}, Version: int(version)}}, revision, nil
}

func (s *changingStore) WatchAdapterVersions(ctx context.Context, after uint64, wait time.Duration) ([]upstreams.Version, uint64, error) {
	if s.awaitChange(ctx, after, wait) {
		return s.AdapterVersions(ctx)
	}
	return nil, after, ctx.Err()
}

// awaitChange waits for a revision newer than after, and reports whether there is one.
func (s *changingStore) awaitChange(ctx context.Context, after uint64, wait time.Duration) bool {
	_, revision, changed := s.read()
	if revision > after {
		return true
	}
	select {
	case <-changed:
		return true
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return false
}

func (s *changingStore) Upstreams(context.Context) (UpstreamList, error) {
	_, revision, _ := s.read()
	return UpstreamList{Revision: revision}, nil
}

// Guards against a daemon that reads the list of upstreams for itself, as no relay of its zone does, and so keeps the
// list fresh, but not the configuration and the adapter versions.
func TestADaemonThatReadsForItselfKeepsUpWithTheConfiguration(t *testing.T) {
	const applyTime = 2 * time.Second
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			s := newSim(t, 1, 24)
			rng := rand.New(rand.NewPCG(seed, 1))
			begin := time.Now()
			n := s.nodes["z0-20"]
			store := newChangingStore()
			n.opts.Clock, n.opts.BootClock = time.Now, func() time.Duration { return time.Since(begin) }
			n.opts.Store = store
			s.withAccounts()
			n.opts.View.opts.ConfigApplyTime = applyTime
			n.ctx, n.cancel = context.WithCancel(t.Context())
			n.started = begin.Add(-time.Minute)
			n.storeReachable = true
			n.reads = continuity.At(begin)
			for _, loop := range []func(){n.watchConfig, n.watchVersions, n.pollUpstreams} {
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				n.wg.Go(loop)
			}
			next := time.Now()
			for time.Since(begin) < 2*time.Minute {
				time.Sleep(50 * time.Millisecond)
				n.mu.Lock()
				for _, m := range n.members { // the relays answer, and know nothing newer
					m.lastHeard = time.Now()
				}
				n.mu.Unlock()
				if time.Since(begin) < 5*time.Second {
					continue
				}
				if now := time.Now(); !now.Before(next) {
					store.change()
					next = now.Add(4*time.Second + time.Duration(rng.IntN(3000))*time.Millisecond)
				}
				if since := time.Since(store.changedAt); since > applyTime {
					s.Assert(n.opts.View.Table().Config.Version, qt.Equals, store.config, qt.Commentf("seed %d: %s after the change", seed, since))
					n.mu.Lock()
					s.Assert(uint64(n.versions[upstreams.Adapter{Model: "m", Name: "a1"}]), qt.Equals, store.config, qt.Commentf("seed %d: %s after the change", seed, since))
					n.mu.Unlock()
				}
			}
			n.Close()
		})
	}
}
