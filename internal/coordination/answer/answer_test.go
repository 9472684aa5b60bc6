package answer_test

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/celerydeck/celerydeck/internal/coordination/answer"
	"github.com/celerydeck/celerydeck/internal/state"
)

var blitz = state.AdapterRef{Service: "advice", Adapter: "blitz", Version: "v1"}

// opened returns an assembler that has accepted the heads of the given attempts.
func opened(t *testing.T, attempts ...uint32) *answer.Assembler {
	t.Helper()
	a := answer.NewAssembler(blitz)
	for _, n := range attempts {
		a.OpenAttempt(n)
		_, err := a.AddHead(n, blitz, "boot")
		qt.Assert(t, err, qt.IsNil)
	}
	return a
}

// chunk returns a chunk of one unit that starts at offset.
func chunk(offset uint32) answer.Chunk {
	return answer.Chunk{Offset: offset, Count: 1, Data: []byte{byte(offset)}}
}

func TestHeadOfAnotherVersionIsRejected(t *testing.T) {
	a := answer.NewAssembler(blitz)
	a.OpenAttempt(1)
	other := blitz
	other.Version = "v2"
	_, err := a.AddHead(1, other, "boot")
	qt.Check(t, err, qt.Equals, answer.ErrWrongAdapter)
	_, err = a.AddChunk(1, chunk(0))
	qt.Check(t, err, qt.Equals, answer.ErrNoHead)
	qt.Check(t, a.AddEnd(1, 0), qt.Equals, answer.ErrNoHead)
}

func TestUpstreamRestartWithinAnAttemptIsRejected(t *testing.T) {
	a := opened(t, 1)
	_, err := a.AddHead(1, blitz, "another boot")
	qt.Check(t, err, qt.Equals, answer.ErrBootChanged)
}

func TestLatePartOfAnAbandonedAttemptIsRejected(t *testing.T) {
	a := opened(t, 1, 2)
	_, err := a.AddChunk(1, chunk(1))
	qt.Assert(t, err, qt.IsNil)
	a.CloseAttempt(1)
	_, err = a.AddChunk(1, chunk(0))
	qt.Check(t, err, qt.Equals, answer.ErrStaleAttempt)
	ready, err := a.AddChunk(2, chunk(0))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, ready, qt.HasLen, 1, qt.Commentf("the pending chunk of attempt 1 must be dropped"))
	qt.Check(t, a.AddEnd(1, 1), qt.Equals, answer.ErrStaleAttempt)
}

func TestTruncatedAnswerNeverEnds(t *testing.T) {
	a := opened(t, 1)
	_, _ = a.AddChunk(1, chunk(0))
	_, _ = a.AddChunk(1, chunk(2))
	qt.Check(t, a.AddEnd(1, 3), qt.Equals, answer.ErrTruncated)
	qt.Check(t, a.AddEnd(1, 0), qt.Equals, answer.ErrTruncated)
	_, _ = a.AddChunk(1, chunk(1))
	qt.Check(t, a.AddEnd(1, 3), qt.IsNil)
	_, err := a.AddChunk(1, chunk(3))
	qt.Check(t, err, qt.Equals, answer.ErrEnded)
}

func TestPlainAnswerIsNotContinuedByAnotherAttempt(t *testing.T) {
	a := answer.NewAssembler(state.AdapterRef{})
	a.OpenAttempt(1)
	_, err := a.AddHead(1, state.AdapterRef{}, "boot")
	qt.Assert(t, err, qt.IsNil)
	a.CloseAttempt(1)
	a.OpenAttempt(2)
	_, err = a.AddHead(2, state.AdapterRef{}, "boot")
	qt.Check(t, err, qt.Equals, answer.ErrNotResumable)
}

func TestPendingChunksAreBounded(t *testing.T) {
	a := opened(t, 1)
	for i := range uint32(answer.MaxPending) {
		_, err := a.AddChunk(1, chunk(i+1))
		qt.Assert(t, err, qt.IsNil)
	}
	_, err := a.AddChunk(1, chunk(answer.MaxPending+1))
	qt.Check(t, err, qt.Equals, answer.ErrTooManyPending)
	b := opened(t, 1)
	_, err = b.AddChunk(1, answer.Chunk{Offset: 1, Count: 1, Data: make([]byte, answer.MaxPendingBytes+1)})
	qt.Check(t, err, qt.Equals, answer.ErrTooManyPending)
	_, err = b.AddChunk(1, answer.Chunk{Offset: 2, Count: ^uint32(0)})
	qt.Check(t, err, qt.Equals, answer.ErrInvalidChunk)
}

// TestAnyOrderOfChunksGivesTheSameAnswer sends every chunk twice, in random order, from
// two attempts that are open at the same time.
func TestAnyOrderOfChunksGivesTheSameAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Uint32Range(0, 40).Draw(t, "total")
		a := answer.NewAssembler(blitz)
		for n := uint32(1); n <= 2; n++ {
			a.OpenAttempt(n)
			_, err := a.AddHead(n, blitz, "boot")
			must(t, err == nil, "%v", err)
		}
		offsets := rapid.Permutation(twice(total)).Draw(t, "order")
		var got []byte
		for i, offset := range offsets {
			number := uint32(1 + i%2)
			if rapid.IntRange(0, 20).Draw(t, "end early") == 0 {
				if a.AddEnd(number, total) == nil {
					must(t, len(got) == int(total), "the answer ended after %d of %d units", len(got), total)
				}
			}
			ready, err := a.AddChunk(number, chunk(offset))
			if a.Ended() {
				must(t, errors.Is(err, answer.ErrEnded), "chunk after the end: %v, want ErrEnded", err)
				break
			}
			must(t, err == nil, "%v", err)
			for _, p := range ready {
				got = append(got, p.Data...)
			}
		}
		if !a.Ended() {
			must(t, a.AddEnd(1, total) == nil, "the answer did not end, %d of %d units delivered", a.NextOffset(), total)
		}
		var want bytes.Buffer
		for i := range total {
			want.WriteByte(byte(i))
		}
		must(t, bytes.Equal(got, want.Bytes()), "delivered %v", got)
	})
}

// twice returns a list that contains each offset below total two times.
func twice(total uint32) []uint32 {
	var out []uint32
	for i := range total {
		out = append(out, i, i)
	}
	return out
}

func must(t *rapid.T, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}
