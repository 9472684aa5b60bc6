package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

var errBadReport = errors.New("upstream: the load report has no boot id or a negative count")

// adapterOrder loads or unloads an adapter. The engine rejects it if it has seen a
// higher fencing token.
type adapterOrder struct {
	Name    string      `json:"lora_name"`
	Path    string      `json:"lora_path,omitempty"`
	Fencing state.Epoch `json:"fencing"`
}

type cancelOrder struct {
	RequestID string `json:"request_id"`
}

// Report is the load report of an engine: its capacity, its requests and its resident
// adapters.
type Report struct {
	BootID   state.BootID `json:"boot_id"`
	Slots    int          `json:"slots"`
	Batch    int          `json:"max_batch"`
	Running  int          `json:"running"`
	Waiting  int          `json:"waiting"`
	Role     string       `json:"role"`
	Adapters []string     `json:"adapters"`
}

// Load orders an engine to load an adapter. It returns the boot id of the engine once
// the adapter is resident.
func (c *Client) Load(ctx context.Context, u *state.Upstream, ref state.AdapterRef, source string, epoch state.Epoch) (state.BootID, *protocol.Error) {
	order := adapterOrder{Name: ref.String(), Path: source, Fencing: epoch}
	header, err := c.postJSON(ctx, "load adapter", u, "/v1/load_lora_adapter", order)
	return state.BootID(header.Get(bootHeader)), err
}

// Unload orders an engine to unload an adapter.
func (c *Client) Unload(ctx context.Context, u *state.Upstream, ref state.AdapterRef, epoch state.Epoch) *protocol.Error {
	order := adapterOrder{Name: ref.String(), Fencing: epoch}
	_, err := c.postJSON(ctx, "unload adapter", u, "/v1/unload_lora_adapter", order)
	return err
}

// Cancel asks an engine to abort a request.
func (c *Client) Cancel(ctx context.Context, u *state.Upstream, requestID string) *protocol.Error {
	_, err := c.postJSON(ctx, "cancel request", u, "/v1/cancel", cancelOrder{RequestID: requestID})
	return err
}

// Report reads the load report of an engine.
func (c *Client) Report(ctx context.Context, u *state.Upstream) (Report, *protocol.Error) {
	const step = "read load report"
	var report Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+"/v1/load", nil)
	if err != nil {
		return report, protocol.AsError(err, step)
	}
	resp, sent, err := c.do(req, nil)
	if err != nil {
		return report, transportError(step, u, sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, statusError(step, u, resp)
	}
	report, err = decodeReport(resp.Body)
	if err != nil {
		return report, protocol.AsError(err, step).WithPeer(string(u.ID))
	}
	return report, nil
}

// decodeReport decodes and validates a load report.
func decodeReport(r io.Reader) (Report, error) {
	var report Report
	if err := json.NewDecoder(io.LimitReader(r, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, err
	}
	if report.BootID == "" || min(report.Slots, report.Batch, report.Running, report.Waiting) < 0 {
		return Report{}, errBadReport
	}
	return report, nil
}
