package callers

import (
	"net/http"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/state"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the adapters that the caller may use, each with its default version.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	caller, err := s.authenticate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range caller.catalog.Config().Services {
		if service.Kind != deckconfig.ModelService || !caller.catalog.Admits(&service, caller.customer) {
			continue
		}
		for _, a := range service.Adapters {
			ref := state.AdapterRef{Service: state.ServiceID(service.Name), Adapter: a.Name, Version: a.Default}
			list.Data = append(list.Data, model{ID: ref.String(), Object: "model", OwnedBy: service.Name})
		}
	}
	writeJSON(w, http.StatusOK, list)
}
