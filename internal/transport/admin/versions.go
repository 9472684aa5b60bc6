package admin

import (
	"encoding/json"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// checkVersions returns an error if a change would replace the weight source of an adapter
// version that is in force. It does not detect conflicts with concurrent changes, which
// Submit detects.
func (s *Server) checkVersions(changes []configsync.Change) error {
	catalog := s.opts.Catalog()
	if catalog == nil {
		return nil
	}
	var all deckconfig.Errors
	for _, c := range changes {
		if c.Key.Kind != configsync.ObjectAdapter || len(c.Value) == 0 {
			continue
		}
		service, name, _ := strings.Cut(c.Key.Name, "/")
		current := catalog.Adapter(state.AdapterRef{Service: state.ServiceID(service), Adapter: name})
		if current == nil {
			continue
		}
		var next deckconfig.Adapter
		if err := json.Unmarshal(c.Value, &next); err != nil {
			return protocol.Errorf(protocol.KindBadRequest, stepSubmit, protocol.OutcomeNotRun, "%s: %v", c.Key, err)
		}
		all = append(all, deckconfig.CheckAdapterChange(service, current, &next)...)
	}
	if len(all) == 0 {
		return nil
	}
	return all
}
