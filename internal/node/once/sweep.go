package once

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	core "github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// Start runs the sweeper until Close.
func (g *Gateway) Start() {
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.wg.Go(func() {
		ticker := time.NewTicker(core.SweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				g.SweepBucket(ctx, rand.IntN(core.BucketCount))
			case <-ctx.Done():
				return
			}
		}
	})
}

// Close stops the sweeper.
func (g *Gateway) Close() {
	if g.stop != nil {
		g.stop()
	}
	g.wg.Wait()
}

// SweepBucket deletes the expired records of one bucket, up to the limit of one sweep,
// and returns the number of deleted records.
func (g *Gateway) SweepBucket(ctx context.Context, bucket int) int {
	page, err := g.opts.Objects.List(ctx, core.BucketPrefix(bucket))
	if err != nil {
		return 0
	}
	deleted := 0
	for _, r := range core.Expired(g.opts.Clock(), storedRecords(page), core.SweepLimit(g.opts.DaemonCount())) {
		if g.opts.Objects.Delete(ctx, r.Key, platform.Version(r.Version)) == nil {
			deleted++
		}
	}
	return deleted
}

// storedRecords decodes a page of records and skips those that it can't decode.
func storedRecords(page platform.Page) []core.StoredRecord {
	records := make([]core.StoredRecord, 0, len(page.Objects))
	for _, o := range page.Objects {
		var r core.Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			klog.ErrorS(err, "Record is unreadable", "key", o.Key)
			continue
		}
		records = append(records, core.StoredRecord{Key: o.Key, Version: core.Version(o.Version), Record: r})
	}
	return records
}
