package entry

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// Suspects decides whether a request may run that ran on an upstream when it
// crashed.
type Suspects interface {
	// Admit waits until a request may run and reports whether it must run alone.
	Admit(ctx context.Context, f suspects.Fingerprint) (bool, *protocol.Error)
	// Completed notes that a request ran to its end.
	Completed(ctx context.Context, f suspects.Fingerprint, alone bool)
	// Release ends the permit of a run alone.
	Release(ctx context.Context, f suspects.Fingerprint)
}

// admit asks whether the request may run now.
func (s *session) admit(ctx context.Context) (bool, *protocol.Error) {
	if s.g.opts.Suspects == nil || s.call.Fingerprint == 0 {
		return false, nil
	}
	return s.g.opts.Suspects.Admit(ctx, suspects.Fingerprint(s.call.Fingerprint))
}

// finish reports the end of an attempt. A whole answer proves innocence.
func (s *session) finish(ctx context.Context, alone, whole bool) {
	if s.g.opts.Suspects == nil || s.call.Fingerprint == 0 {
		return
	}
	f := suspects.Fingerprint(s.call.Fingerprint)
	ctx = context.WithoutCancel(ctx)
	if whole {
		s.g.opts.Suspects.Completed(ctx, f, alone)
	}
	if alone {
		s.g.opts.Suspects.Release(ctx, f)
	}
}
