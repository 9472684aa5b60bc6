package entry

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// Suspects decides whether and how requests may run whose fingerprint was running on
// an upstream when the upstream crashed.
type Suspects interface {
	// Admit waits until a request may run and reports whether it must run alone.
	Admit(ctx context.Context, f suspects.Fingerprint) (bool, *protocol.Error)
	// Completed records that a request ran to its end without a crash.
	Completed(ctx context.Context, f suspects.Fingerprint, alone bool)
	// Release returns the permit to run alone.
	Release(ctx context.Context, f suspects.Fingerprint)
}

// admit waits until the request may run and reports whether it must run alone.
func (s *session) admit(ctx context.Context) (bool, *protocol.Error) {
	if s.g.opts.Suspects == nil || s.call.Fingerprint == 0 {
		return false, nil
	}
	return s.g.opts.Suspects.Admit(ctx, suspects.Fingerprint(s.call.Fingerprint))
}

// reportEnd reports the end of an attempt. A complete answer clears the fingerprint.
func (s *session) reportEnd(ctx context.Context, alone, complete bool) {
	if s.g.opts.Suspects == nil || s.call.Fingerprint == 0 {
		return
	}
	f := suspects.Fingerprint(s.call.Fingerprint)
	ctx = context.WithoutCancel(ctx)
	if complete {
		s.g.opts.Suspects.Completed(ctx, f, alone)
	}
	if alone {
		s.g.opts.Suspects.Release(ctx, f)
	}
}
