// Package operator is a stand-in for the operator of the platform. It writes
// configurations, upstreams and adapter versions to the stand-in of the object store.
package operator

import (
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
)

// Route is a route of a configuration.
type Route struct {
	Name     string // also the first element of the path
	Kind     string
	Service  string
	Second   string // another service that gets half of the requests; empty for none
	Timeout  time.Duration
	Attempts int
}

// Engines describes a service of model engines and its engines.
type Engines struct {
	Service      string
	Model        string
	Slots        int // concurrent requests
	AdapterSlots int
}

const maxConns = 100

// PutConfig writes a configuration with the routes of a host, the plain services and one
// service of model engines.
func PutConfig(s *objectstore.Store, version int, host string, routes []Route, plain []string, e Engines) {
	routeList := []any{}
	for _, r := range routes {
		ms := int(r.Timeout.Milliseconds())
		route := map[string]any{
			"name": r.Name, "host": host, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "timeout_ms": ms, "goal_ms": ms / 2,
			"priority": 0, "service": r.Service, "attempts": r.Attempts, "resumable": r.Kind == "stream", "gap_aim_ms": 250,
		}
		if r.Second != "" {
			delete(route, "service")
			route["backends"] = []any{map[string]any{"service": r.Service, "weight": 1}, map[string]any{"service": r.Second, "weight": 1}}
		}
		routeList = append(routeList, route)
	}
	services := []any{map[string]any{"name": e.Service, "max_conns": maxConns, "backend": map[string]any{
		"slots": e.Slots, "kv_capacity": 100000, "weights_mb": 1000, "lora_slots": e.AdapterSlots, "loads_per_s": 2,
		"models": []any{map[string]any{"name": e.Model, "weights_mb": 500, "lora_mb": 10, "load_time_s": 1}},
	}}}
	for _, name := range plain {
		services = append(services, map[string]any{"name": name, "max_conns": maxConns})
	}
	s.Put("config", "main", map[string]any{
		"version": version, "routes": routeList, "services": services,
		"limits": map[string]any{"header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// PutUpstream lists an upstream in the given state, "ready" or "draining". The model is
// empty for a plain upstream.
func PutUpstream(s *objectstore.Store, id, service, addr, state, model string, slots int) {
	spec := map[string]any{"service": service, "address": addr, "zone": "z1", "version": "v1", "slots": slots, "state": state, "born": 1, "seq": 1}
	if model != "" {
		spec["models"] = []any{map[string]any{"name": model, "version": 1, "adapters": []string{}}}
	}
	s.Put("servers", id, spec)
}

// DropUpstream removes an upstream from the list of upstreams.
func DropUpstream(s *objectstore.Store, id string) { s.Delete("servers", id) }

// PutVersion writes the newest version of an adapter.
func PutVersion(s *objectstore.Store, model, adapter string, version int) {
	s.Put("versions", model+"."+adapter, map[string]any{"model": model, "adapter": adapter, "version": version})
}
