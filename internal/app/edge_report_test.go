package app

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

func TestFleetReportShowsLeaseHoldersReplicasAndVersions(t *testing.T) {
	w := newEdgeCluster(t, 2, 2)
	w.eventuallyServed(w.edges[0], "/llm/x", "a1")
	w.store.Put("versions", "base.a2", map[string]any{"model": "base", "adapter": "a2", "version": 3})
	var r protocol.FleetReport
	w.eventually("report of the fleet", func() bool {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/fleet", w.edges[1].settings.MetricPort))
		w.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		r = protocol.FleetReport{}
		w.Assert(json.NewDecoder(resp.Body).Decode(&r), qt.IsNil)
		complete := len(r.Upstreams) == 2
		for _, u := range r.Upstreams {
			complete = complete && u.LeaseHolder != "" && u.CanOrder
		}
		return complete && len(r.Adapters) == 2 && len(r.Peers) == 1 && !r.Peers[0].Lost
	})
	w.Assert(r.ConfigVersion, qt.Equals, uint64(1))
	w.Assert(r.Routes, qt.HasLen, 1)
	w.Assert(r.Routes[0].Services, qt.DeepEquals, []string{"llm"})
	w.Assert(r.Services[0].Models, qt.DeepEquals, []string{"base"})
	w.Assert(r.Services[0].Upstreams, qt.Equals, 2)
	w.Assert(r.Adapters[0].Adapter, qt.Equals, "base/a1")
	w.Assert(r.Adapters[0].Replicas[1], qt.HasLen, 1)
	w.Assert(r.Adapters[1].Newest, qt.Equals, 3)
	for _, u := range r.Upstreams {
		w.Assert(u.LeaseHolder, qt.Matches, "vm-.")
		w.Assert(u.CanOrder, qt.IsTrue)
	}
}
