package upstream

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// roleRequest sets the role of an engine under a fencing token.
type roleRequest struct {
	Role    string      `json:"role"`
	Fencing state.Epoch `json:"fencing"`
}

// FenceResult is the result of RaiseFence.
type FenceResult struct {
	Boot     state.BootID // boot of the engine that answered
	Rejected bool         // the engine has seen a higher fencing token
}

// RaiseFence makes an engine reject orders with a fencing token below epoch. It orders the
// engine to take the role that the engine already has, so that only its fencing token
// changes. It compares the boot ids of the engine before and after the order, and returns
// an error if they differ, because an engine that restarted may not be fenced.
func (c *Client) RaiseFence(ctx context.Context, u *state.Upstream, epoch state.Epoch) (FenceResult, *protocol.Error) {
	before, err := c.Report(ctx, u)
	if err != nil {
		return FenceResult{}, err
	}
	order := roleRequest{Role: before.Role, Fencing: epoch}
	if _, err := c.postJSON(ctx, "raise fence", u, "/v1/role", order); err != nil {
		rejected := err.Kind == protocol.KindNotOwner
		return FenceResult{Boot: before.BootID, Rejected: rejected}, err
	}
	after, err := c.Report(ctx, u)
	if err != nil {
		return FenceResult{}, err
	}
	if after.BootID != before.BootID {
		return FenceResult{}, protocol.Errorf(protocol.KindUnavailable, "raise fence", protocol.OutcomeUnknown,
			"engine restarted during the order").WithPeer(string(u.ID))
	}
	return FenceResult{Boot: after.BootID}, nil
}
