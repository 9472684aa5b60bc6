package app

import (
	"context"
	"fmt"

	budget "github.com/celerydeck/celerydeck/internal/coordination/storebudget"
	"github.com/celerydeck/celerydeck/internal/node/cluster"
	"github.com/celerydeck/celerydeck/internal/node/config"
	"github.com/celerydeck/celerydeck/internal/node/once"
	"github.com/celerydeck/celerydeck/internal/node/operator"
	"github.com/celerydeck/celerydeck/internal/node/owner"
	"github.com/celerydeck/celerydeck/internal/node/ownership"
	"github.com/celerydeck/celerydeck/internal/node/storebudget"
	"github.com/celerydeck/celerydeck/internal/node/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// peerHandler serves calls and messages from other daemons.
type peerHandler struct {
	owner     *owner.Manager
	cluster   *cluster.Cluster
	ownership *ownership.Node
	config    *config.Node
	operator  *operator.Node
	once      *once.Gateway
	suspects  *suspects.Node
	store     *storebudget.Node // nil if no limits of the weight store are set
}

// ServeCall implements peer.Handler.
func (h peerHandler) ServeCall(ctx context.Context, _ state.DaemonID, call *protocol.Call, sink protocol.Sink) {
	serve := h.owner.Submit
	if call.Ticket != "" {
		serve = h.serveTicket
	}
	if err := serve(ctx, call, sink); err != nil {
		_ = sink.End(protocol.End{Attempt: call.Attempt, Err: err})
	}
}

func (h peerHandler) serveTicket(ctx context.Context, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	return h.once.Serve(ctx, call, call.Base, sink)
}

// ServeMessage implements peer.Handler.
func (h peerHandler) ServeMessage(_ context.Context, from state.DaemonID, frame protocol.Frame) (protocol.MessageKind, any, error) {
	switch frame.Kind {
	case protocol.MsgHeartbeat:
		var beat protocol.Heartbeat
		if err := frame.Decode(&beat); err != nil {
			return 0, nil, err
		}
		ack, err := h.cluster.HandleHeartbeat(from, &beat)
		return protocol.MsgHeartbeatAck, ack, err
	case protocol.MsgZoneFeed:
		var msg protocol.ZoneFeed
		if err := frame.Decode(&msg); err != nil {
			return 0, nil, err
		}
		ack, err := h.cluster.HandleFeed(from, &msg)
		return protocol.MsgZoneFeedAck, ack, err
	case protocol.MsgOwnershipRequest:
		var request protocol.OwnershipRequest
		if err := frame.Decode(&request); err != nil {
			return 0, nil, err
		}
		return protocol.MsgOwnershipReply, h.ownership.HandleAsk(from, request), nil
	case protocol.MsgStatusQuery:
		var query protocol.StatusQuery
		if err := frame.Decode(&query); err != nil {
			return 0, nil, err
		}
		return protocol.MsgStatusReply, h.operator.Status(query), nil
	case protocol.MsgConfigStateRequest:
		var req protocol.ConfigStateRequest
		if err := frame.Decode(&req); err != nil {
			return 0, nil, err
		}
		return protocol.MsgConfigState, h.config.HandleStateRequest(from, req), nil
	case protocol.MsgSuspects:
		var msg protocol.Suspects
		if err := frame.Decode(&msg); err != nil {
			return 0, nil, err
		}
		return protocol.MsgSuspectsReply, h.suspects.HandleSuspects(msg), nil
	case protocol.MsgPermitRequest:
		var msg protocol.PermitRequest
		if err := frame.Decode(&msg); err != nil {
			return 0, nil, err
		}
		return protocol.MsgPermitReply, h.suspects.HandlePermitRequest(from, msg), nil
	case protocol.MsgShareRequest:
		var request budget.ShareRequest
		if err := frame.Decode(&request); err != nil {
			return 0, nil, err
		}
		if h.store == nil {
			return protocol.MsgShareGrant, budget.Grant{Sequence: request.Sequence}, nil
		}
		return protocol.MsgShareGrant, h.store.HandleShareRequest(from, request), nil
	case protocol.MsgConfigFetch:
		var req protocol.ConfigFetch
		if err := frame.Decode(&req); err != nil {
			return 0, nil, err
		}
		records, err := h.config.HandleFetchRequest(req)
		return protocol.MsgConfigRecords, records, err
	}
	return 0, nil, fmt.Errorf("unknown message kind %d", frame.Kind)
}
