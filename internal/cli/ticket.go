package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
)

// maxTicketBytes limits how much of the response with a ticket is read.
const maxTicketBytes = 1 << 20

// ticketCmd requests a ticket from the API for callers of a daemon and prints it.
type ticketCmd struct {
	Service    string `arg:"positional,required" help:"service whose calls must not repeat"`
	CallerAddr string `arg:"--caller-addr,env:CELERYDECK_CLI_CALLER_ADDR" default:"127.0.0.1:8080" help:"address of a daemon's API for callers"`
	CallerKey  string `arg:"--,env:CELERYDECK_CLI_CALLER_KEY" help:"API key of the customer"`
}

// ticketRequest is the body of a request to /v1/tickets.
type ticketRequest struct {
	Service string `json:"service"`
}

// issuedTicket is the body of a successful response from /v1/tickets.
type issuedTicket struct {
	Ticket  string    `json:"ticket"`
	Service string    `json:"service"`
	Daemon  string    `json:"daemon"`
	Expires time.Time `json:"expires"`
}

func (c *ticketCmd) run(ctx context.Context, e *env) error {
	if c.CallerKey == "" {
		return usageError("CELERYDECK_CLI_CALLER_KEY must hold an API key of the customer")
	}
	t, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	if e.json() {
		return e.printJSON(t)
	}
	fmt.Fprintf(e.Stdout, "%s\nissued by %s, expires %s\n", t.Ticket, t.Daemon, formatTime(t.Expires))
	return nil
}

func (c *ticketCmd) fetch(ctx context.Context) (issuedTicket, error) {
	var t issuedTicket
	body, err := json.Marshal(ticketRequest{Service: c.Service})
	if err != nil {
		return t, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.CallerAddr+"/v1/tickets", bytes.NewReader(body))
	if err != nil {
		return t, err
	}
	req.Header.Set("Authorization", "Bearer "+c.CallerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return t, &admin.UnreachableError{Addrs: []string{c.CallerAddr}, Err: err}
	}
	defer resp.Body.Close()
	reader := io.LimitReader(resp.Body, maxTicketBytes)
	if resp.StatusCode/100 == 2 {
		return t, json.NewDecoder(reader).Decode(&t)
	}
	var failure admin.ErrorBody
	if err := json.NewDecoder(reader).Decode(&failure); err != nil || failure.Error.Code == "" {
		failure.Error.Code = protocol.KindInternal
		failure.Error.Message = resp.Status
	}
	return t, &admin.APIError{Status: resp.StatusCode, Detail: failure.Error}
}
