package peer_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
)

// BenchmarkCall measures sequential calls whose answers have one chunk.
func BenchmarkCall(b *testing.B) {
	p := newPair(b, handler{call: func(_ context.Context, _ *protocol.Call, out protocol.Sink) {
		_ = out.Head(protocol.Head{Attempt: 1})
		_ = out.Chunk(protocol.Chunk{Attempt: 1, Count: 1, Data: []byte("x")})
		_ = out.End(protocol.End{Attempt: 1, Total: 1})
	}})
	b.ReportAllocs()
	for b.Loop() {
		err := p.pool.Call(b.Context(), p.to, newPlainCall(), &sink{})
		qt.Assert(b, err, qt.Equals, (*protocol.Error)(nil))
	}
}
