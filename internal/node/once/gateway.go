// Package once runs calls that must not repeat: it carries out the decisions of
// the once core with the platform and with the daemons that issued tickets.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	core "github.com/celerydeck/celerydeck/internal/coordination/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/state/inflight"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

const (
	stepKey    = "check idempotency key"
	stepTicket = "check ticket"
	// closeTimeout bounds the writes that follow the end of a call.
	closeTimeout = time.Minute
	secretBytes  = 32
)

// Next serves a call from end to end.
type Next interface {
	Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error
}

// Peers runs calls at other daemons.
type Peers interface {
	Call(ctx context.Context, to state.DaemonID, call *protocol.Call, sink protocol.Sink) *protocol.Error
}

// ObjectStore holds the records. It is a part of the platform's object API.
type ObjectStore interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, base platform.Version) (platform.Version, error)
	Delete(ctx context.Context, key string, base platform.Version) error
	List(ctx context.Context, prefix string) (platform.Page, error)
}

// Options sets up a Gateway.
type Options struct {
	Self        state.DaemonID
	Incarnation state.Incarnation
	Next        Next
	Peers       Peers
	Objects     ObjectStore
	Clock       func() time.Time
	// Secret signs tickets. It must be random and differ between incarnations.
	Secret []byte
	// NewNonce returns a nonce that no other request has.
	NewNonce func() string
	// DaemonCount returns the number of daemons that sweep records.
	DaemonCount func() int
	// DaemonLost reports that a run of a daemon was heard and has ended or been silent for
	// too long.
	DaemonLost func(state.DaemonID, state.Incarnation) bool
}

// Gateway guards calls that must not repeat and passes all others on. It is safe
// for concurrent use.
type Gateway struct {
	opts    Options
	closing *inflight.Counter
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex // guards tickets and ended; never held across I/O
	tickets *core.TicketIssuer
	ended   chan struct{} // closed and replaced when a use of a ticket ends
}

// New returns a gateway whose sweeper is not running.
func New(opts Options) *Gateway {
	return &Gateway{
		opts:    opts,
		closing: inflight.New(),
		tickets: core.NewTicketIssuer(opts.Self, opts.Incarnation, opts.Secret),
		ended:   make(chan struct{}),
	}
}

// Serve runs a call at most once when it names a key or a ticket.
func (g *Gateway) Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	switch {
	case call.Ticket != "":
		return g.serveTicket(ctx, call, base, sink)
	case call.IdempotencyKey != "":
		return g.serveKey(ctx, call, base, sink)
	}
	return g.opts.Next.Serve(ctx, call, base, sink)
}

// Wait returns when the records of all ended calls are written, or with the error
// of ctx.
func (g *Gateway) Wait(ctx context.Context) error { return g.closing.Wait(ctx) }

// run runs a call that was cleared to run. The caller may go away: the call runs
// on, so that a resend gets its answer.
func (g *Gateway) run(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink, deadline time.Time) (core.Result, *protocol.Error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	try := *call
	try.Ticket = ""
	try.Repeatable = false
	try.Budget = deadline.Sub(g.opts.Clock())
	rec := &recorder{sink: sink}
	err := g.opts.Next.Serve(ctx, &try, base, rec)
	return rec.result(err), err
}

// digest identifies what a call asks for, so that a key is not reused for
// something else.
func digest(call *protocol.Call) string {
	h := sha256.New()
	if call.Model != nil {
		_, _ = fmt.Fprintf(h, "model %t %d ", call.Model.Chat, len(call.Model.Body))
		_, _ = h.Write(call.Model.Body)
	} else {
		p := call.Plain
		_, _ = fmt.Fprintf(h, "plain %q %q %d ", p.Method, p.Path, len(p.Body))
		_, _ = h.Write(p.Body)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (g *Gateway) refusal(step string, reason core.Reason) *protocol.Error {
	kind := protocol.KindInterrupted
	var retryAfter time.Duration
	switch reason {
	case core.ReasonObjectStore:
		kind, retryAfter = protocol.KindUnavailable, time.Second
	case core.ReasonTooManyTickets:
		kind, retryAfter = protocol.KindOverloaded, time.Second
	case core.ReasonDifferentRequest:
		kind = protocol.KindConflict
	case core.ReasonInProgress:
		kind = protocol.KindInProgress
	case core.ReasonAnswerNotKept:
		kind = protocol.KindNotKept
	case core.ReasonDeadline:
		kind = protocol.KindDeadline
	case core.ReasonKeyExpired, core.ReasonTicketExpired:
		kind = protocol.KindExpired
	case core.ReasonInvalidKey, core.ReasonInvalidTicket:
		kind = protocol.KindBadRequest
	}
	err := protocol.Errorf(kind, step, outcome(reason.Outcome()), "%s", reason).WithPeer(string(g.opts.Self))
	err.RetryAfter = retryAfter
	return err
}

func outcome(o core.Outcome) protocol.Outcome {
	switch o {
	case core.OutcomeNotRun:
		return protocol.OutcomeNotRun
	case core.OutcomeRan:
		return protocol.OutcomeRan
	}
	return protocol.OutcomeUnknown
}
