// Package answer puts the chunks of one answer into order. Chunks may arrive
// late, twice, out of order and from more than one attempt.
package answer

import "errors"

// MaxPending is the largest number of chunks held back while one is missing.
const MaxPending = 4096

// Errors of an Assembler.
var (
	ErrTooManyPending = errors.New("answer: too many chunks arrived ahead of a missing one")
	ErrShort          = errors.New("answer: the end came before the last chunk")
	ErrEnded          = errors.New("answer: chunk after the end")
)

// Piece is a part of an answer: Count units starting at Offset.
type Piece struct {
	Offset uint32
	Count  uint32
	Data   []byte
}

// Assembler orders the pieces of one answer. It is not safe for concurrent use.
//
// Invariant: every unit below next was delivered exactly once and in order.
type Assembler struct {
	next    uint32
	ended   bool
	pending map[uint32]Piece
}

// Next returns the offset of the first unit that was not delivered.
func (a *Assembler) Next() uint32 { return a.next }

// Add takes a piece and returns the pieces that can be delivered now. A piece
// that was delivered before is dropped. A piece that straddles the delivered
// range is dropped as well: attempts resume at Next, on a piece boundary.
func (a *Assembler) Add(p Piece) ([]Piece, error) {
	if a.ended {
		return nil, ErrEnded
	}
	if p.Count == 0 || p.Offset < a.next {
		return nil, nil
	}
	if p.Offset > a.next {
		return nil, a.hold(p)
	}
	ready := []Piece{p}
	a.next += p.Count
	for len(a.pending) > 0 {
		q, ok := a.pending[a.next]
		if !ok {
			break
		}
		delete(a.pending, a.next)
		ready = append(ready, q)
		a.next += q.Count
	}
	a.dropStale()
	return ready, nil
}

// End closes the answer at total units. It fails with ErrShort when units are
// missing; the answer then stays open for a further attempt.
func (a *Assembler) End(total uint32) error {
	if a.ended {
		return ErrEnded
	}
	if a.next != total {
		return ErrShort
	}
	a.ended = true
	a.pending = nil
	return nil
}

func (a *Assembler) hold(p Piece) error {
	if len(a.pending) >= MaxPending {
		return ErrTooManyPending
	}
	if a.pending == nil {
		a.pending = make(map[uint32]Piece)
	}
	a.pending[p.Offset] = p
	return nil
}

func (a *Assembler) dropStale() {
	for offset := range a.pending {
		if offset < a.next {
			delete(a.pending, offset)
		}
	}
}
