package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

// countObjects returns the number of objects whose keys have a prefix.
func (s *objectStore) countObjects(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && !o.Deleted {
			n++
		}
	}
	return n
}

// put creates an object with the JSON encoding of a value.
func (c *cluster) put(t *testing.T, key string, value any) {
	data, err := json.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.store.write(platform.Object{Key: key, Value: data}, 0)
	qt.Assert(t, err, qt.IsNil)
}

// TestCompactionDeletesAllRecordsBelowTheMark guards against records that stay because each round
// starts at the mark, where the records are deleted already.
func TestCompactionDeletesAllRecordsBelowTheMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(1, 1)
		defer c.close()
		const compacted, retained = 1000, 5
		for i := range compacted + retained {
			c.put(t, config.RecordKey(uint64(i+1)), configsync.ChangeRecord{Revision: uint64(i + 1), Submission: configsync.Submission{ID: fmt.Sprint("s", i)}})
		}
		c.put(t, "config/snapshot", configsync.SnapshotManifest{Revision: configsync.RetainedRecords, CompactedThrough: compacted})
		for range 8 {
			qt.Assert(t, nodes[0].Compact(t.Context()), qt.IsNil)
		}
		qt.Check(t, c.store.countObjects("config/change/"), qt.Equals, retained)
		before := c.store.callCount()
		for range 3 {
			qt.Assert(t, nodes[0].Compact(t.Context()), qt.IsNil)
		}
		qt.Check(t, c.store.callCount()-before <= 10, qt.IsTrue, qt.Commentf("%d calls", c.store.callCount()-before))
	})
}

// TestCompactionDeletesTheBlobsOfARecord guards against blobs that no record refers to any more.
func TestCompactionDeletesTheBlobsOfARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, nodes := startCluster(1, 1)
		defer c.close()
		c.put(t, config.RecordKey(1), configsync.ChangeRecord{Revision: 1, BlobCount: 2, Submission: configsync.Submission{ID: "s1"}})
		c.put(t, "config/changes-of/s1/0", "first")
		c.put(t, "config/changes-of/s1/1", "second")
		c.put(t, "config/changes-of/s10/0", "of a retained record")
		c.put(t, "config/snapshot", configsync.SnapshotManifest{Revision: configsync.RetainedRecords, CompactedThrough: 1})
		qt.Assert(t, nodes[0].Compact(t.Context()), qt.IsNil)
		qt.Check(t, c.store.countObjects("config/change/"), qt.Equals, 0)
		qt.Check(t, c.store.countObjects("config/changes-of/"), qt.Equals, 1)
	})
}
