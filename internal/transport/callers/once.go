package callers

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

type ticketRequest struct {
	Service string `json:"service"`
}

type ticketResponse struct {
	Ticket  string         `json:"ticket"`
	Service string         `json:"service"`
	Daemon  state.DaemonID `json:"daemon"`
	Expires time.Time      `json:"expires"`
}

// ticket issues a ticket for one call of a non-repeatable service.
func (s *Server) ticket(in authenticatedRequest) *protocol.Error {
	var req ticketRequest
	if err := json.Unmarshal(in.body, &req); err != nil {
		return notRunError(protocol.KindBadRequest, stepParse, "the body is not valid JSON: %v", err)
	}
	service, err := in.caller.nonRepeatable(state.ServiceID(req.Service))
	if err != nil {
		return err
	}
	ticket := s.opts.Tickets.IssueTicket(in.caller.customer, state.ServiceID(service.Name))
	writeJSON(in.w, http.StatusCreated, ticketResponse{
		Ticket:  ticket.String(),
		Service: service.Name,
		Daemon:  ticket.Daemon,
		Expires: ticket.Expires.UTC().Truncate(time.Second),
	})
	return nil
}

// nonRepeatable returns the service with the given id. It returns an error unless the
// caller may use the service and calls of the service are non-repeatable.
func (c caller) nonRepeatable(id state.ServiceID) (*deckconfig.Service, *protocol.Error) {
	service := c.catalog.Service(id)
	if service == nil {
		return nil, notRunError(protocol.KindNotFound, stepParse, "no service %q", id)
	}
	if !c.catalog.Admits(service, c.customer) {
		return nil, notRunError(protocol.KindForbidden, stepAuthenticate, "customer %q may not call service %q", c.customer, id)
	}
	if !service.NonRepeatable {
		return nil, notRunError(protocol.KindBadRequest, stepParse, "calls of service %q may repeat and take no ticket", id)
	}
	return service, nil
}

// readOnceHeaders sets the idempotency key or the ticket of a non-repeatable call from the
// request headers. It rejects requests with more than one of these headers. For repeatable
// calls it does nothing.
func readOnceHeaders(r *http.Request, call *protocol.Call) *protocol.Error {
	if call.Repeatable {
		return nil
	}
	keys, tickets := r.Header.Values(HeaderIdempotencyKey), r.Header.Values(HeaderTicket)
	if len(keys)+len(tickets) > 1 {
		return notRunError(protocol.KindBadRequest, stepParse, "send one %s or one %s", HeaderIdempotencyKey, HeaderTicket)
	}
	if len(keys) == 1 {
		if keys[0] == "" {
			return notRunError(protocol.KindBadRequest, stepParse, "%s must not be empty", HeaderIdempotencyKey)
		}
		call.IdempotencyKey = keys[0]
	}
	if len(tickets) == 1 {
		if tickets[0] == "" {
			return notRunError(protocol.KindBadRequest, stepParse, "%s must not be empty", HeaderTicket)
		}
		call.Ticket = tickets[0]
	}
	return nil
}

func setReplayedHeader(w http.ResponseWriter, h protocol.Head) {
	if h.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
}
