package admin

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

const stepAuthenticate = "authenticate operator"

// bootstrapName is the author of changes made with the bootstrap key.
const bootstrapName = "bootstrap"

// handlerFunc is a handler that knows the operator.
type handlerFunc func(w http.ResponseWriter, r *http.Request, operator deckconfig.Operator)

// as admits operators with at least the given role.
func (s *Server) as(role deckconfig.OperatorRole, next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(key(r))
		if !ok {
			w.Header().Set("WWW-Authenticate", `Basic realm="celerydeck", charset="UTF-8"`)
			writeError(w, protocol.Errorf(protocol.KindUnauthorized, stepAuthenticate, protocol.OutcomeNotRun, "unknown operator key"))
			return
		}
		if role == deckconfig.RoleOperator && operator.Role != deckconfig.RoleOperator {
			writeError(w, protocol.Errorf(protocol.KindForbidden, stepAuthenticate, protocol.OutcomeNotRun,
				"operator %q has role %q and may not change anything", operator.Name, operator.Role))
			return
		}
		next(w, r, operator)
	}
}

// key returns the key of a request: a bearer token, or the password that a
// browser asks for.
func key(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	_, password, _ := r.BasicAuth()
	return password
}

func (s *Server) authenticate(key string) (deckconfig.Operator, bool) {
	if key == "" {
		return deckconfig.Operator{}, false
	}
	hash := []byte(state.HashKey(key))
	if subtle.ConstantTimeCompare(hash, []byte(s.opts.BootstrapKeyHash)) == 1 {
		return deckconfig.Operator{Name: bootstrapName, Role: deckconfig.RoleOperator}, true
	}
	if catalog := s.opts.Catalog(); catalog != nil {
		return catalog.OperatorByKey(key)
	}
	return deckconfig.Operator{}, false
}
