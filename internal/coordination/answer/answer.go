// Package answer checks the parts of one answer and puts them into order. Parts
// may arrive late, twice, out of order and from several attempts at once.
package answer

import (
	"errors"
	"fmt"
	"math"

	"github.com/celerydeck/celerydeck/internal/state"
)

// Limits of what is held back while an earlier piece is missing.
const (
	MaxPending      = 4096
	MaxPendingBytes = 4 << 20
)

// Errors of an Answer. None of them changes what was delivered.
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

// Chunk is a part of an answer: Count units starting at Offset. Units are tokens
// of models and bytes of plain services.
type Chunk struct {
	Offset uint32
	Count  uint32
	Data   []byte
}

// Assembler is the state of one answer. It is not safe for concurrent use.
//
// Invariants: every unit below Next was delivered exactly once and in order, by
// an attempt whose head named the wanted adapter and version; after the end
// nothing is delivered.
type Assembler struct {
	want     state.AdapterRef // zero for plain services
	next     uint32
	started  bool
	ended    bool
	attempts []attempt // open attempts, oldest first
	ready    []Chunk   // result of the last Add
}

type attempt struct {
	number  uint32
	headed  bool
	boot    state.BootID
	pending map[uint32]Chunk
	bytes   int
}

// NewAssembler returns an answer that only the given adapter version may give. The zero
// reference stands for a plain service.
func NewAssembler(want state.AdapterRef) *Assembler { return &Assembler{want: want} }

// NextOffset returns the offset of the first unit that was not delivered.
func (a *Assembler) NextOffset() uint32 { return a.next }

// Started reports whether a head was delivered.
func (a *Assembler) Started() bool { return a.started }

// Ended reports whether the whole answer was delivered.
func (a *Assembler) Ended() bool { return a.ended }

// OpenAttempt lets an attempt contribute to the answer.
func (a *Assembler) OpenAttempt(number uint32) {
	if a.find(number) != nil {
		panic(fmt.Sprintf("answer: attempt %d is open already", number))
	}
	a.attempts = append(a.attempts, attempt{number: number})
}

// CloseAttempt gives an attempt up. What it held back is dropped, and its later parts
// are refused.
func (a *Assembler) CloseAttempt(number uint32) {
	for i := range a.attempts {
		if a.attempts[i].number == number {
			a.attempts = append(a.attempts[:i], a.attempts[i+1:]...)
			return
		}
	}
}

// AddHead takes the head of an attempt. It reports whether the head is the first of
// the answer and should be delivered.
func (a *Assembler) AddHead(number uint32, adapter state.AdapterRef, boot state.BootID) (bool, error) {
	t := a.find(number)
	switch {
	case a.ended:
		return false, ErrEnded
	case t == nil:
		return false, ErrStaleAttempt
	case adapter != a.want:
		return false, ErrWrongAdapter
	case t.headed && t.boot != boot:
		return false, ErrBootChanged
	case !t.headed && a.started && a.want.IsZero():
		return false, ErrNotResumable
	}
	t.headed, t.boot = true, boot
	first := !a.started
	a.started = true
	return first, nil
}

// AddChunk takes a piece and returns the pieces that can be delivered now. They are
// valid until the next call. A piece that was delivered before is dropped, and so
// is one that straddles the delivered range: attempts resume at Next, on the
// boundary of a piece.
func (a *Assembler) AddChunk(number uint32, p Chunk) ([]Chunk, error) {
	t := a.find(number)
	switch {
	case a.ended:
		return nil, ErrEnded
	case t == nil:
		return nil, ErrStaleAttempt
	case !t.headed:
		return nil, ErrNoHead
	case p.Count > math.MaxUint32-p.Offset:
		return nil, ErrInvalidChunk
	}
	a.ready = a.ready[:0]
	switch {
	case p.Count == 0 || p.Offset < a.next:
		return nil, nil
	case p.Offset > a.next:
		return nil, t.hold(p)
	}
	a.deliver(p)
	for a.release() {
	}
	return a.ready, nil
}

// AddEnd closes the answer at total units. It fails with ErrShort when units are
// missing; the answer then stays open for a further attempt.
func (a *Assembler) AddEnd(number, total uint32) error {
	t := a.find(number)
	switch {
	case a.ended:
		return ErrEnded
	case t == nil:
		return ErrStaleAttempt
	case !t.headed:
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

func (a *Assembler) deliver(p Chunk) {
	if p.Offset != a.next {
		panic(fmt.Sprintf("answer: delivery of offset %d instead of %d", p.Offset, a.next))
	}
	a.ready = append(a.ready, p)
	a.next += p.Count
}

// release delivers one piece that was held back, if it is due.
func (a *Assembler) release() bool {
	for i := range a.attempts {
		if p, ok := a.attempts[i].take(a.next); ok {
			a.deliver(p)
			return true
		}
	}
	return false
}

func (t *attempt) hold(p Chunk) error {
	if _, twice := t.pending[p.Offset]; twice {
		return nil
	}
	if len(t.pending) >= MaxPending || t.bytes+len(p.Data) > MaxPendingBytes {
		return ErrTooManyPending
	}
	if t.pending == nil {
		t.pending = make(map[uint32]Chunk)
	}
	t.pending[p.Offset] = p
	t.bytes += len(p.Data)
	return nil
}

// take removes the piece at an offset.
func (t *attempt) take(offset uint32) (Chunk, bool) {
	if len(t.pending) == 0 {
		return Chunk{}, false
	}
	p, ok := t.pending[offset]
	if ok {
		delete(t.pending, offset)
		t.bytes -= len(p.Data)
	}
	return p, ok
}
