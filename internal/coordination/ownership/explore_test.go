//go:build !race

package ownership_test

import (
	"reflect"
	"testing"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
)

// explorer visits every reachable state of the model once, depth first.
type explorer struct {
	seen        map[uint64]struct{}
	transitions int
	trace       []move
	broken      string
	buf         []byte
	worlds      []*world // by depth
}

func (x *explorer) visit(w *world) bool {
	x.buf = encodeWorld(x.buf[:0], unsafe.Pointer(w))
	key := xxhash.Sum64(x.buf)
	if _, ok := x.seen[key]; ok {
		return true
	}
	if len(x.seen) >= maxStates {
		panic("the bounds of the model are too wide")
	}
	x.seen[key] = struct{}{}
	var list [64]move
	for _, m := range w.moves(list[:0]) {
		next := x.scratch(len(x.trace))
		*next = *w
		if !m.apply(next) {
			continue
		}
		next.check()
		x.transitions++
		x.trace = append(x.trace, m)
		if next.broken != "" {
			x.broken = next.broken
			return false
		}
		if !x.visit(next) {
			return false
		}
		x.trace = x.trace[:len(x.trace)-1]
	}
	return true
}

// scratch returns the world that is reused at a depth.
func (x *explorer) scratch(depth int) *world {
	for len(x.worlds) <= depth {
		x.worlds = append(x.worlds, new(world))
	}
	return x.worlds[depth]
}

// encoder appends a canonical form of the value at an address.
type encoder func(b []byte, p unsafe.Pointer) []byte

// encoderOf builds the encoder of a type. Pointers are left out: the only ones are
// those to the location of times.
func encoderOf(t reflect.Type) encoder {
	switch t.Kind() {
	case reflect.Pointer:
		return func(b []byte, _ unsafe.Pointer) []byte { return b }
	case reflect.String:
		return func(b []byte, p unsafe.Pointer) []byte {
			s := *(*string)(p)
			return append(append(b, byte(len(s))), s...)
		}
	case reflect.Slice:
		return sliceEncoder(t)
	case reflect.Array:
		return arrayEncoder(encoderOf(t.Elem()), t.Elem().Size(), t.Len())
	case reflect.Struct:
		return structEncoder(t)
	}
	size := t.Size()
	return func(b []byte, p unsafe.Pointer) []byte {
		return append(b, unsafe.Slice((*byte)(p), size)...)
	}
}

func sliceEncoder(t reflect.Type) encoder {
	element, size := encoderOf(t.Elem()), t.Elem().Size()
	return func(b []byte, p unsafe.Pointer) []byte {
		header := *(*[]byte)(p) // pointer and length are those of any slice
		b = append(b, byte(len(header)))
		return arrayEncoder(element, size, len(header))(b, unsafe.Pointer(unsafe.SliceData(header)))
	}
}

func arrayEncoder(element encoder, size uintptr, n int) encoder {
	return func(b []byte, p unsafe.Pointer) []byte {
		for i := range n {
			b = element(b, unsafe.Add(p, uintptr(i)*size))
		}
		return b
	}
}

func structEncoder(t reflect.Type) encoder {
	fields := make([]encoder, t.NumField())
	offsets := make([]uintptr, t.NumField())
	for i := range fields {
		fields[i], offsets[i] = encoderOf(t.Field(i).Type), t.Field(i).Offset
	}
	return func(b []byte, p unsafe.Pointer) []byte {
		for i, f := range fields {
			b = f(b, unsafe.Add(p, offsets[i]))
		}
		return b
	}
}

var encodeWorld = encoderOf(reflect.TypeFor[world]())

const maxStates = 20_000_000

func explore(v variant, b bounds) *explorer {
	x := &explorer{seen: make(map[uint64]struct{})}
	w := newWorld(v, b)
	x.visit(&w)
	return x
}

func TestModelKeepsTheInvariantsInEveryState(t *testing.T) {
	for name, b := range exploredBounds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := explore(correct, b)
			t.Logf("%+v: %d states, %d transitions", b, len(x.seen), x.transitions)
			qt.Assert(t, x.broken, qt.Equals, "", qt.Commentf("after %q", x.trace))
		})
	}
}

func TestModelCatchesBrokenVariants(t *testing.T) {
	onlyFenced, onlyUnfenced := bounds{first: 0, last: 0}, bounds{first: 1, last: 1}
	for _, c := range []struct {
		name    string
		variant variant
		bounds  bounds
		faults  int
		ticks   int
		skip    int
		unloads int
	}{
		{"no pending-unload record", noPendingRecord, onlyUnfenced, 0, 2, 0, 1},
		{"lease counted from the answer", leaseFromAnswer, onlyUnfenced, 1, 2, 1, 0},
		{"no fence raised", noFenceRaised, onlyFenced, 0, 2, 0, 1},
		{"no promise", noPromise, onlyUnfenced, 0, 2, 0, 1},
		{"predecessor not resolved, engine checks", noResolution, onlyFenced, 0, 2, 0, 1},
		{"predecessor not resolved, engine ignores", noResolution, onlyUnfenced, 0, 2, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := c.bounds
			b.lastTick, b.faults, b.flips, b.unloads = c.ticks, c.faults, 1, c.unloads
			b.skipTicks = c.skip
			x := explore(c.variant, b)
			t.Logf("%d states: %s after %q", len(x.seen), x.broken, x.trace)
			qt.Assert(t, x.broken, qt.Not(qt.Equals), "")
		})
	}
}
