package admin

import (
	"encoding/json"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// checkVersions rejects changes of the weight source of adapter versions that are in
// force. Conflicts with concurrent changes are left to Submit.
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
