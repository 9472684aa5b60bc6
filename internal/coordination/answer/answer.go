// Package answer assembles the answer to one request from the parts that upstreams
// send. Each attempt at an upstream sends a head, chunks and an end. Parts may arrive
// late, repeatedly, out of order and from several attempts at once.
package answer

import (
	"errors"
	"fmt"
	"math"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Limits of the chunks that an attempt buffers while an earlier chunk is missing.
const (
	MaxPending      = 4096 // chunks
	MaxPendingBytes = 4 << 20
)

// Errors of an Assembler. A part for which the Assembler returns an error is not
// delivered.
var (
	ErrWrongAdapter   = errors.New("answer: given by another adapter or version")
	ErrBootChanged    = errors.New("answer: the upstream restarted within an attempt")
	ErrNoHead         = errors.New("answer: part before the head of its attempt")
	ErrStaleAttempt   = errors.New("answer: part of an attempt that was given up")
	ErrTooManyPending = errors.New("answer: too many parts arrived ahead of a missing one")
	ErrTruncated      = errors.New("answer: the end came before the last part")
	ErrEnded          = errors.New("answer: part after the end")
	ErrInvalidChunk   = errors.New("answer: part with an impossible size")
	ErrNotResumable   = errors.New("answer: a plain answer can't be continued by another attempt")
)

// Chunk holds Count units of an answer, starting at Offset. Units are tokens for models
// and bytes for plain services.
type Chunk struct {
	Offset uint32
	Count  uint32
	Data   []byte
}

// Assembler checks the parts of one answer and returns them in order for delivery to
// the caller. It is not safe for concurrent use.
//
// Invariants: every unit below NextOffset was delivered exactly once and in order, by
// an attempt whose head named the requested adapter and version; nothing is delivered
// after the end.
type Assembler struct {
	requested state.AdapterRef // zero for plain services
	next      uint32
	started   bool
	ended     bool
	attempts  []attempt // open attempts, oldest first
	ready     []Chunk   // chunks that the last AddChunk returned
}

type attempt struct {
	number       uint32
	headReceived bool
	boot         state.BootID
	pending      map[uint32]Chunk // by offset
	pendingBytes int
}

// NewAssembler returns an assembler for the answer of the requested adapter version. It
// rejects the heads of all other adapter versions. The zero reference stands for a plain
// service.
func NewAssembler(requested state.AdapterRef) *Assembler { return &Assembler{requested: requested} }

// NextOffset returns the offset of the first unit that was not delivered.
func (a *Assembler) NextOffset() uint32 { return a.next }

// Started reports whether a head was delivered.
func (a *Assembler) Started() bool { return a.started }

// Ended reports whether the whole answer was delivered.
func (a *Assembler) Ended() bool { return a.ended }

// OpenAttempt registers an attempt, whose parts are accepted from then on.
func (a *Assembler) OpenAttempt(number uint32) {
	if a.find(number) != nil {
		panic(fmt.Sprintf("answer: attempt %d is already open", number))
	}
	a.attempts = append(a.attempts, attempt{number: number})
}

// CloseAttempt abandons an attempt. Its pending chunks are dropped, and its later parts
// fail with ErrStaleAttempt.
func (a *Assembler) CloseAttempt(number uint32) {
	for i := range a.attempts {
		if a.attempts[i].number == number {
			a.attempts = append(a.attempts[:i], a.attempts[i+1:]...)
			return
		}
	}
}

// AddHead accepts the head of an attempt. It reports whether the caller must receive
// this head: only the first head of the answer is delivered.
func (a *Assembler) AddHead(number uint32, adapter state.AdapterRef, boot state.BootID) (bool, error) {
	t := a.find(number)
	switch {
	case a.ended:
		return false, ErrEnded
	case t == nil:
		return false, ErrStaleAttempt
	case adapter != a.requested:
		return false, ErrWrongAdapter
	case t.headReceived && t.boot != boot:
		return false, ErrBootChanged
	case !t.headReceived && a.started && a.requested.IsZero():
		return false, ErrNotResumable
	}
	t.headReceived, t.boot = true, boot
	first := !a.started
	a.started = true
	return first, nil
}

// AddChunk accepts a chunk of an attempt and returns the chunks that can be delivered
// now. The result is valid until the next call of AddChunk. A chunk ahead of NextOffset
// is buffered. A chunk that starts below NextOffset is dropped, even if the chunk extends
// beyond NextOffset: attempts resume at NextOffset, which is a chunk boundary.
func (a *Assembler) AddChunk(number uint32, c Chunk) ([]Chunk, error) {
	t := a.find(number)
	switch {
	case a.ended:
		return nil, ErrEnded
	case t == nil:
		return nil, ErrStaleAttempt
	case !t.headReceived:
		return nil, ErrNoHead
	case c.Count > math.MaxUint32-c.Offset:
		return nil, ErrInvalidChunk
	}
	a.ready = a.ready[:0]
	switch {
	case c.Count == 0 || c.Offset < a.next:
		return nil, nil
	case c.Offset > a.next:
		return nil, t.buffer(c)
	}
	a.deliver(c)
	for a.deliverPending() {
	}
	return a.ready, nil
}

// AddEnd ends the answer after total units and closes all attempts. If fewer or more
// units were delivered, it fails with ErrTruncated, and the answer stays open for
// another attempt.
func (a *Assembler) AddEnd(number, total uint32) error {
	t := a.find(number)
	switch {
	case a.ended:
		return ErrEnded
	case t == nil:
		return ErrStaleAttempt
	case !t.headReceived:
		return ErrNoHead
	case a.next != total:
		return ErrTruncated
	}
	a.ended = true
	a.attempts = nil
	return nil
}

func (a *Assembler) find(number uint32) *attempt {
	for i := range a.attempts {
		if a.attempts[i].number == number {
			return &a.attempts[i]
		}
	}
	return nil
}

// deliver appends a chunk that starts at NextOffset to the result of AddChunk and
// advances NextOffset.
func (a *Assembler) deliver(c Chunk) {
	if c.Offset != a.next {
		panic(fmt.Sprintf("answer: chunk at offset %d delivered, want offset %d", c.Offset, a.next))
	}
	a.ready = append(a.ready, c)
	a.next += c.Count
}

// deliverPending delivers a pending chunk that starts at NextOffset. It reports whether
// any attempt had such a chunk.
func (a *Assembler) deliverPending() bool {
	for i := range a.attempts {
		if c, ok := a.attempts[i].pop(a.next); ok {
			a.deliver(c)
			return true
		}
	}
	return false
}

// buffer keeps a chunk until all units below the offset of the chunk were delivered. It
// drops a chunk whose offset is pending already.
func (t *attempt) buffer(c Chunk) error {
	if _, duplicate := t.pending[c.Offset]; duplicate {
		return nil
	}
	if len(t.pending) >= MaxPending || t.pendingBytes+len(c.Data) > MaxPendingBytes {
		return ErrTooManyPending
	}
	if t.pending == nil {
		t.pending = make(map[uint32]Chunk)
	}
	t.pending[c.Offset] = c
	t.pendingBytes += len(c.Data)
	return nil
}

// pop removes and returns the pending chunk at an offset.
func (t *attempt) pop(offset uint32) (Chunk, bool) {
	if len(t.pending) == 0 {
		return Chunk{}, false
	}
	c, ok := t.pending[offset]
	if ok {
		delete(t.pending, offset)
		t.pendingBytes -= len(c.Data)
	}
	return c, ok
}
