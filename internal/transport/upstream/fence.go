package upstream

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

type roleOrder struct {
	Role    string      `json:"role"`
	Fencing state.Epoch `json:"fencing"`
}

// FenceResult is the answer of an engine to RaiseFence.
type FenceResult struct {
	Boot     state.BootID
	Rejected bool // the engine has seen a higher fencing number
}

// RaiseFence makes an engine refuse orders with a fencing number below epoch. It
// orders the role that the engine has, which changes nothing else.
func (c *Client) RaiseFence(ctx context.Context, u *state.Upstream, epoch state.Epoch) (FenceResult, *protocol.Error) {
	before, err := c.Report(ctx, u)
	if err != nil {
		return FenceResult{}, err
	}
	order := roleOrder{Role: before.Role, Fencing: epoch}
	if _, err := c.postJSON(ctx, "raise fence", u, "/v1/role", order); err != nil {
		refused := err.Kind == protocol.KindNotOwner
		return FenceResult{Boot: before.BootID, Rejected: refused}, err
	}
	after, err := c.Report(ctx, u)
	if err != nil {
		return FenceResult{}, err
	}
	if after.BootID != before.BootID {
		return FenceResult{}, protocol.Errorf(protocol.KindUnavailable, "raise fence", protocol.OutcomeUnknown,
			"engine restarted meanwhile").WithPeer(string(u.ID))
	}
	return FenceResult{Boot: after.BootID}, nil
}
