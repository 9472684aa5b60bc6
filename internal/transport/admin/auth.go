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

// bootstrapAuthor is the name of the operator that authenticates with the bootstrap key.
const bootstrapAuthor = "bootstrap"

// operatorHandler is an HTTP handler that receives the authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator deckconfig.Operator)

// requireRole returns a handler that authenticates the operator and calls next if the
// operator has at least the given role. Otherwise the handler answers with an error.
func (s *Server) requireRole(role deckconfig.OperatorRole, next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(requestKey(r))
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

// requestKey returns the operator key in a request. The key is the bearer token or, for
// browsers, the password of basic authentication.
func requestKey(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	_, password, _ := r.BasicAuth()
	return password
}

// authenticate returns the operator that a key belongs to. The second result reports
// whether the key is valid.
func (s *Server) authenticate(key string) (deckconfig.Operator, bool) {
	if key == "" {
		return deckconfig.Operator{}, false
	}
	hash := []byte(state.HashKey(key))
	if subtle.ConstantTimeCompare(hash, []byte(s.opts.BootstrapKeyHash)) == 1 {
		return deckconfig.Operator{Name: bootstrapAuthor, Role: deckconfig.RoleOperator}, true
	}
	if catalog := s.opts.Catalog(); catalog != nil {
		return catalog.OperatorByKey(key)
	}
	return deckconfig.Operator{}, false
}
