// Package once ensures that calls that must not be repeated run at most once. It executes
// the decisions of coordination/once: it keeps the records of idempotency keys in the
// object store and forwards tickets to the daemons that issued them.
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
	// recordTimeout is the timeout for updating or deleting the record of a call that has
	// ended.
	recordTimeout = time.Minute
	secretBytes   = 32
)

// Next serves the calls that a Gateway passes on.
type Next interface {
	Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error
}

// Peers forwards calls to other daemons.
type Peers interface {
	Call(ctx context.Context, to state.DaemonID, call *protocol.Call, sink protocol.Sink) *protocol.Error
}

// ObjectStore stores the records. It is the part of the platform's object API that a
// Gateway uses.
type ObjectStore interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, value []byte, base platform.Version) (platform.Version, error)
	Delete(ctx context.Context, key string, base platform.Version) error
	List(ctx context.Context, prefix string) (platform.Page, error)
}

// Options configures a Gateway.
type Options struct {
	Self        state.DaemonID
	Incarnation state.Incarnation
	Next        Next
	Peers       Peers
	Objects     ObjectStore
	Clock       func() time.Time
	// Secret signs tickets. It must be random and different for each incarnation.
	Secret []byte
	// NewNonce returns a nonce that is unique to a request.
	NewNonce func() string
	// DaemonCount returns the number of daemons that sweep records.
	DaemonCount func() int
	// DaemonLost reports whether an incarnation that this daemon has heard from has ended
	// or has been silent for too long.
	DaemonLost func(state.DaemonID, state.Incarnation) bool
}

// Gateway runs calls with an idempotency key or a ticket at most once and passes all
// other calls on. It is safe for concurrent use.
type Gateway struct {
	opts           Options
	pendingRecords *inflight.Counter // ended calls whose records are being written
	stop           context.CancelFunc
	wg             sync.WaitGroup

	mu       sync.Mutex // guards tickets and useEnded; never held across I/O
	tickets  *core.TicketIssuer
	useEnded chan struct{} // closed and replaced when the use of a ticket ends
}

// New returns a gateway. Start starts its sweeper.
func New(opts Options) *Gateway {
	return &Gateway{
		opts:           opts,
		pendingRecords: inflight.New(),
		tickets:        core.NewTicketIssuer(opts.Self, opts.Incarnation, opts.Secret),
		useEnded:       make(chan struct{}),
	}
}

// Serve serves a call, at most once if it has an idempotency key or a ticket.
func (g *Gateway) Serve(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink) *protocol.Error {
	switch {
	case call.Ticket != "":
		return g.serveTicket(ctx, call, base, sink)
	case call.IdempotencyKey != "":
		return g.serveKey(ctx, call, base, sink)
	}
	return g.opts.Next.Serve(ctx, call, base, sink)
}

// Wait waits until the records of all ended calls are written. If ctx ends before then,
// it returns the error of ctx.
func (g *Gateway) Wait(ctx context.Context) error { return g.pendingRecords.Wait(ctx) }

// run executes a call that may run, marks it as not repeatable, and records the answer
// for replays. The call continues after its caller has disconnected, so that the answer
// can be replayed when the caller resends the call.
func (g *Gateway) run(ctx context.Context, call *protocol.Call, base string, sink protocol.Sink, deadline time.Time) (core.Result, *protocol.Error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	attempt := *call
	attempt.Ticket = ""
	attempt.Repeatable = false
	attempt.TimeLeft = deadline.Sub(g.opts.Clock())
	rec := &recorder{sink: sink}
	err := g.opts.Next.Serve(ctx, &attempt, base, rec)
	return rec.result(err), err
}

// digest returns a digest of the content of a call. Calls that reuse a key or a ticket
// for different content are detected by their digests.
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

// refusal returns the error for a refused call.
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
		kind = protocol.KindAnswerNotKept
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
