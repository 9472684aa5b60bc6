package state

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ErrBadModelName reports a model name that is not service/adapter[@version].
var ErrBadModelName = errors.New("model name must be service/adapter or service/adapter@version")

// AdapterRef names one version of an adapter. An empty version stands for the
// default version, which the daemon that receives the request fills in.
type AdapterRef struct {
	Service ServiceID
	Adapter string
	Version string
}

// ParseAdapterRef parses "service/adapter" or "service/adapter@version".
func ParseAdapterRef(name string) (AdapterRef, error) {
	service, rest, ok := strings.Cut(name, "/")
	if !ok || service == "" {
		return AdapterRef{}, ErrBadModelName
	}
	adapter, version, versioned := strings.Cut(rest, "@")
	if adapter == "" || strings.Contains(adapter, "/") {
		return AdapterRef{}, ErrBadModelName
	}
	if versioned && version == "" || strings.ContainsAny(version, "/@") {
		return AdapterRef{}, ErrBadModelName
	}
	return AdapterRef{Service: ServiceID(service), Adapter: adapter, Version: version}, nil
}

// String returns service/adapter@version, the name under which engines load the adapter.
func (r AdapterRef) String() string {
	name := string(r.Service) + "/" + r.Adapter
	if r.Version == "" {
		return name
	}
	return name + "@" + r.Version
}

// IsZero reports whether r names no adapter.
func (r AdapterRef) IsZero() bool { return r == AdapterRef{} }

// Hash returns a hash of the reference that is the same on every daemon.
func (r AdapterRef) Hash() uint64 {
	h := Mix(xxhash.Sum64String(string(r.Service)))
	h = Mix(h ^ xxhash.Sum64String(r.Adapter))
	return Mix(h + xxhash.Sum64String(r.Version))
}
