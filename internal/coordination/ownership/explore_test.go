//go:build !race

package ownership_test

import (
	"reflect"
	"testing"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
)

// explorer visits every reachable state of the model once, depth first, until an
// invariant is violated.
type explorer struct {
	seen        map[uint64]struct{}
	transitions int
	trace       []move
	violation   string
	buf         []byte
	worlds      []*world // reused worlds, by depth
}

// visit explores the states that follow from w. It reports whether all invariants hold.
func (x *explorer) visit(w *world) bool {
	x.buf = encodeWorld(x.buf[:0], unsafe.Pointer(w))
	key := xxhash.Sum64(x.buf)
	if _, ok := x.seen[key]; ok {
		return true
	}
	if len(x.seen) >= maxStates {
		panic("the bounds of the model allow too many states")
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
		if next.violation != "" {
			x.violation = next.violation
			return false
		}
		if !x.visit(next) {
			return false
		}
		x.trace = x.trace[:len(x.trace)-1]
	}
	return true
}

// scratch returns the reused world of a depth.
func (x *explorer) scratch(depth int) *world {
	for len(x.worlds) <= depth {
		x.worlds = append(x.worlds, new(world))
	}
	return x.worlds[depth]
}

// encoder appends a canonical form of the value at an address.
type encoder func(b []byte, p unsafe.Pointer) []byte

// encoderOf returns the encoder of a type. It omits pointers, as the only ones in a
// world are the locations of times.
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
		header := *(*[]byte)(p) // the pointer and the length are the same for every element type
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
			qt.Assert(t, x.violation, qt.Equals, "", qt.Commentf("after %q", x.trace))
		})
	}
}

// The invariants must be strong enough to find each deliberate fault.
func TestModelCatchesBrokenVariants(t *testing.T) {
	onlyFenced, onlyUnfenced := bounds{firstEngine: 0, lastEngine: 0}, bounds{firstEngine: 1, lastEngine: 1}
	for _, c := range []struct {
		name    string
		variant variant
		bounds  bounds
		faults  int
		ticks   int
		start   int // ticks before the exploration
		unloads int
	}{
		{"unload not recorded before its order", unloadsNotRecorded, onlyUnfenced, 0, 2, 0, 1},
		{"lease counted from the reply to the renewal", leaseFromReply, onlyUnfenced, 1, 2, 1, 0},
		{"fence not raised", fenceNotRaised, onlyFenced, 0, 2, 0, 1},
		{"promises not requested", promiseNotRequested, onlyUnfenced, 0, 2, 0, 1},
		{"predecessor not resolved, engine checks tokens", predecessorNotResolved, onlyFenced, 0, 2, 0, 1},
		{"predecessor not resolved, engine ignores tokens", predecessorNotResolved, onlyUnfenced, 0, 2, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := c.bounds
			b.lastTick, b.faults, b.reassignments, b.unloads = c.ticks, c.faults, 1, c.unloads
			b.startTicks = c.start
			x := explore(c.variant, b)
			t.Logf("%d states: %s after %q", len(x.seen), x.violation, x.trace)
			qt.Assert(t, x.violation, qt.Not(qt.Equals), "")
		})
	}
}
