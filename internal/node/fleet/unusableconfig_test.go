package fleet

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
	"github.com/celerydeck/celerydeck/internal/decisionlog"
)

// unusableConfigStore returns configurations and errors in turn. It records after which revisions it was
// watched, 0 for a read.
type unusableConfigStore struct {
	Store
	replies []configReply
	calls   []uint64
	end     func() // called after the last reply
}

type configReply struct {
	config *routes.Config
	err    error
}

func (s *unusableConfigStore) Config(ctx context.Context) (*routes.Config, uint64, error) {
	return s.WatchConfig(ctx, 0, 0)
}

func (s *unusableConfigStore) WatchConfig(_ context.Context, after uint64, _ time.Duration) (*routes.Config, uint64, error) {
	s.calls = append(s.calls, after)
	if len(s.calls) > len(s.replies) {
		s.end()
		return nil, after, nil
	}
	r := s.replies[len(s.calls)-1]
	return r.config, uint64(100 + len(s.calls)), r.err
}

// Guards against a daemon that drops the version in force, stops its watch or takes the store for
// lost because of a configuration that can't be read.
func TestAConfigurationThatCannotBeReadLeavesTheVersionInForceAndTheWatch(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1, 1)
	n := s.nodes["z0-00"]
	n.opts.Clock = func() time.Time { s.now = s.now.Add(10 * time.Millisecond); return s.now } // a pause ends
	var lines bytes.Buffer
	n.opts.Log = decisionlog.New(&lines, "vm")
	var cancel context.CancelFunc
	n.ctx, cancel = context.WithCancel(context.Background())
	unusable := fmt.Errorf("%w: test", ErrUnusableConfig)
	store := &unusableConfigStore{end: cancel, replies: []configReply{
		{config: &routes.Config{Version: 1}}, {err: unusable}, {err: unusable}, {config: &routes.Config{Version: 2}, err: unusable}, {},
	}}
	n.opts.Store = store
	n.applyUpstreams(s.now, s.now, 1, nil)
	n.watchConfig()
	c.Assert(store.calls, qt.DeepEquals, []uint64{0, 101, 102, 103, 104, 105})
	c.Assert(n.opts.View.Table().Config.Version, qt.Equals, uint64(2))
	n.opts.Log.Close()
	c.Assert(strings.Count(lines.String(), `"configuration unusable"`), qt.Equals, 1)
	c.Assert(strings.Contains(lines.String(), `"store lost"`), qt.IsFalse)
}
