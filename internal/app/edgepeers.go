package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"

	"go.uber.org/fx"

	"github.com/celerydeck/celerydeck/internal/node/fleet"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
	"github.com/celerydeck/celerydeck/platform"
)

// edgePeerHandler serves messages from other daemons.
type edgePeerHandler struct{ node *fleet.Node }

var errNotServed = errors.New("app: message is not served on this platform")

// ServeCall implements peer.Handler. It does nothing, as daemons on the users' platform
// pass no requests to each other.
func (edgePeerHandler) ServeCall(_ context.Context, _ state.DaemonID, _ *protocol.Call, _ protocol.Sink) {
}

// ServeMessage implements peer.Handler.
func (p edgePeerHandler) ServeMessage(ctx context.Context, from state.DaemonID, frame protocol.Frame) (protocol.MessageKind, any, error) {
	switch frame.Kind {
	case protocol.MsgFleet:
		var msg protocol.FleetPush
		if err := frame.Decode(&msg); err != nil {
			return 0, nil, err
		}
		return protocol.MsgFleetReply, p.node.HandlePush(from, &msg), nil
	case protocol.MsgPromptNotice:
		var msg protocol.PromptNotice
		if err := frame.Decode(&msg); err != nil {
			return 0, nil, err
		}
		return protocol.MsgPromptNoticeReply, p.node.HandlePromptNotice(&msg), nil
	case protocol.MsgLoadRequest:
		var msg protocol.LoadRequest
		if err := frame.Decode(&msg); err != nil {
			return 0, nil, err
		}
		return protocol.MsgLoadReply, p.node.ServeLoadRequest(ctx, msg), nil
	}
	if frame.Kind == protocol.MsgPromptReservation {
		var msg protocol.PromptReservation
		if err := frame.Decode(&msg); err != nil {
			return 0, nil, err
		}
		return protocol.MsgPromptReservationReply, p.node.ServePromptReservation(msg), nil
	}
	return 0, nil, errNotServed
}

func serveEdgePeers(lc fx.Lifecycle, s platform.Settings, keys *peer.Keyring, n *fleet.Node) error {
	conn, err := net.ListenPacket("udp", net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)))
	if err != nil {
		return fmt.Errorf("listen for daemons: %w", err)
	}
	server, err := peer.Listen(conn, keys, edgePeerHandler{n})
	if err != nil {
		return fmt.Errorf("serve daemons: %w", err)
	}
	lc.Append(fx.StopHook(func() {
		server.Close()
		_ = conn.Close()
	}))
	return nil
}
