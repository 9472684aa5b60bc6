package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/transport/frontconn"
)

func TestABodyIsReadWholeAndItsMemoryReleased(t *testing.T) {
	const limit = 1 << 20 // bytes
	for _, size := range []int{0, 1, minBodyBuffer, maxFirstBuffer + 1, limit} {
		for _, length := range []int64{-1, int64(size)} {
			m := bodyMemory{pool: frontconn.NewMemory(maxBodyMemory)}
			want := bytes.Repeat([]byte("x"), size)
			body, err := m.read(iotest.HalfReader(bytes.NewReader(want)), length, limit)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(body, want), qt.IsTrue)
			m.release(body)
			qt.Assert(t, m.pool.Used(), qt.Equals, int64(0))
		}
	}
}

// Guards against memory that stays taken after a body that could not be read.
func TestMemoryOfABodyThatCannotBeReadIsReleased(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		r      io.Reader
		length int64
		limit  int64
		taken  int64
		want   error
	}{
		"too long":       {bytes.NewReader(make([]byte, 9000)), -1, 8999, 0, errBodyTooLong},
		"announced":      {bytes.NewReader(nil), 9000, 8999, 0, errBodyTooLong},
		"broken off":     {io.MultiReader(bytes.NewReader(make([]byte, 9000)), iotest.ErrReader(broken)), 20000, 1 << 20, 0, broken},
		"no memory":      {bytes.NewReader(nil), -1, 1 << 20, maxBodyMemory, errBodyMemory},
		"no more memory": {bytes.NewReader(make([]byte, 9000)), -1, 1 << 20, maxBodyMemory - minBodyBuffer, errBodyMemory},
	} {
		t.Run(name, func(t *testing.T) {
			m := bodyMemory{pool: frontconn.NewMemory(maxBodyMemory)}
			for range c.taken / minBodyBuffer { // a single client may not take all
				qt.Assert(t, m.pool.Take(nil, minBodyBuffer, 0, 0), qt.IsTrue)
			}
			_, err := m.read(c.r, c.length, c.limit)
			qt.Assert(t, err, qt.ErrorIs, c.want)
			qt.Assert(t, m.pool.Used(), qt.Equals, c.taken)
		})
	}
}

// Guards against responses that announce a long body, send nothing and so take the memory for
// all other bodies.
func TestAnAnnouncedLengthAloneTakesLittleMemory(t *testing.T) {
	m := bodyMemory{pool: frontconn.NewMemory(maxBodyMemory)}
	taken := int64(0)
	_, err := m.read(readerFunc(func([]byte) (int, error) {
		taken = m.pool.Used()
		return 0, io.EOF
	}), maxBufferedBody, maxBufferedBody)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, taken, qt.Equals, int64(maxFirstBuffer))
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
