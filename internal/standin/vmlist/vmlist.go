// Package vmlist is a stand-in for the platform's list of VMs. Changes become visible in
// the list after a fixed lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// VM is an entry of the list.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"` // host:port of the server on the VM
	Kind    string `json:"kind"`    // "entry", "engine" or "plain"
	Service string `json:"service,omitempty"`
	Base    string `json:"base,omitempty"`
	Fenced  bool   `json:"fenced,omitempty"`
	State   string `json:"state"` // "live" or "leaving"
}

// List is the body of a response.
type List struct {
	VMs []VM `json:"vms"`
}

// snapshot is the list after a change, with the time of the change.
type snapshot struct {
	at  time.Time
	vms []VM
}

// Server serves the list. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	history []snapshot
}

// New returns a server with an empty list. Changes become visible after lag.
func New(lag time.Duration) *Server {
	return &Server{lag: lag, history: []snapshot{{}}}
}

// SetDown sets whether every call fails with status 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put adds or replaces a VM.
func (s *Server) Put(vm VM) {
	s.update(func(vms []VM) []VM {
		i := slices.IndexFunc(vms, func(v VM) bool { return v.ID == vm.ID })
		if i < 0 {
			return append(vms, vm)
		}
		vms[i] = vm
		return vms
	})
}

// Remove removes a VM.
func (s *Server) Remove(id string) {
	s.update(func(vms []VM) []VM {
		return slices.DeleteFunc(vms, func(v VM) bool { return v.ID == id })
	})
}

// SetState sets the state of a VM.
func (s *Server) SetState(id, state string) {
	s.update(func(vms []VM) []VM {
		for i := range vms {
			if vms[i].ID == id {
				vms[i].State = state
			}
		}
		return vms
	})
}

// update adds a snapshot with a change to the history.
func (s *Server) update(apply func([]VM) []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1]
	next := snapshot{at: time.Now(), vms: apply(slices.Clone(last.vms))}
	s.history = append(s.history, next)
}

// ServeHTTP serves GET /v1/vms.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	vms, down := s.visible()
	if down {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(List{VMs: vms})
}

// visible returns the latest snapshot that is at least lag old, and whether calls fail.
func (s *Server) visible() ([]VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-s.lag)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(limit) {
			return slices.Clone(s.history[i].vms), s.down
		}
	}
	return []VM{}, s.down
}
