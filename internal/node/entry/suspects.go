package entry

import (
	"context"

	"github.com/celerydeck/celerydeck/internal/coordination/suspects"
	"github.com/celerydeck/celerydeck/internal/protocol"
)

// Suspects decides whether a request may run, and whether it must run alone, if a request
// with the same fingerprint was running on an upstream when the upstream crashed.
type Suspects interface {
	// Admit waits until a request may run and reports whether the request must run alone.
	// If so, the caller holds a permit to run alone until it calls Release.
	Admit(ctx context.Context, f suspects.Fingerprint, sharedMessages []uint64) (bool, *protocol.Error)
	// Completed records that a request ran to completion without a crash.
	Completed(ctx context.Context, f suspects.Fingerprint, sharedMessages []uint64, alone bool)
	// Release gives the permit to run alone back.
	Release(ctx context.Context, f suspects.Fingerprint)
}

// admit waits until the request may run and reports whether it must run alone.
func (s *session) admit(ctx context.Context) (bool, *protocol.Error) {
	if s.g.opts.Suspects == nil || s.call.Fingerprint == 0 {
		return false, nil
	}
	return s.g.opts.Suspects.Admit(ctx, suspects.Fingerprint(s.call.Fingerprint), s.sharedMessages())
}

// sharedMessages returns the messages of a completion that other requests may share.
func (s *session) sharedMessages() []uint64 {
	if s.call.Model == nil {
		return nil
	}
	return s.call.Model.SharedMessages
}

// reportEnd reports the end of an attempt to Suspects. A complete answer counts as a run
// without a crash. If the request ran alone, reportEnd gives its permit back.
func (s *session) reportEnd(ctx context.Context, alone, complete bool) {
	if s.g.opts.Suspects == nil || s.call.Fingerprint == 0 {
		return
	}
	f := suspects.Fingerprint(s.call.Fingerprint)
	ctx = context.WithoutCancel(ctx)
	if complete {
		s.g.opts.Suspects.Completed(ctx, f, s.sharedMessages(), alone)
	}
	if alone {
		s.g.opts.Suspects.Release(ctx, f)
	}
}
