package fleet

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/routes"
)

// watchConfig keeps the configuration in force up to date.
func (n *Node) watchConfig() {
	var inStore uint64 // the newest version that was read
	n.watch(watchedConfig, func(ctx context.Context, at uint64) (uint64, error) {
		read, way := n.opts.Store.Config, configByRead
		var wait time.Duration
		if at > 0 {
			way = configByWatch
			wait = n.opts.View.configWait()
			read = func(ctx context.Context) (*routes.Config, uint64, error) {
				return n.opts.Store.WatchConfig(ctx, at, wait)
			}
		}
		askedAt := n.opts.BootClock()
		c, revision, err := read(ctx)
		isUnusable := errors.Is(err, ErrUnusableConfig)
		if err != nil && !isUnusable {
			return revision, err
		}
		if c != nil {
			n.applyConfig(c, ConfigOrigin{Way: way})
			inStore = c.Version
		}
		if isUnusable { // the version in force stays, and the watch goes on to the next one
			n.recordUnusableConfig(err)
			return revision, nil
		}
		n.confirmRead(askedAt, wait, c != nil, inStore)
		return revision, nil
	})
}

// recordUnusableConfig logs a configuration that can't be read, unless it was the last one logged:
// a watch that is restarted reads it again.
func (n *Node) recordUnusableConfig(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if text := err.Error(); text != n.unusableConfig {
		n.unusableConfig = text
		n.opts.Log.Event("configuration unusable", slog.Uint64("version", n.revisions.Config), slog.String("err", text))
	}
}

// applyConfig puts a configuration in force unless a newer configuration is in force.
func (n *Node) applyConfig(c *routes.Config, origin ConfigOrigin) {
	n.opts.View.SetConfigFrom(c, origin)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revisions.Config = max(n.revisions.Config, c.Version)
}
