package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/celerydeck/celerydeck/internal/transport/frontconn"
)

const (
	maxBodyMemory = 48 << 20 // bytes of all request and response bodies in memory, if the options set no limit
	// A body gets between minBodyBuffer and maxFirstBuffer bytes at first. An announced length
	// alone must not take much memory.
	minBodyBuffer  = 4 << 10
	maxFirstBuffer = 64 << 10
	// maxMemoryWait is the most time that a body waits for memory while slower clients give way. It is also at
	// most memoryWaitShare of the time until the deadline.
	maxMemoryWait   = 500 * time.Millisecond
	memoryWaitShare = 0.25
)

var (
	errBodyTooLong = errors.New("gateway: the body is too long")
	errBodyMemory  = errors.New("gateway: no memory left for bodies")
)

// bodyMemory is the memory for the bodies of one caller's request, within the limit for all callers.
type bodyMemory struct {
	pool *frontconn.Memory
	conn *frontconn.Conn // nil if the connection has no limits
	wait time.Duration
}

// read reads a body whole. length is the announced length, or negative if there is none. It
// fails with errBodyTooLong if the body is longer than limit bytes, and with errBodyMemory if
// there is no memory left, also after the wait. The caller must release a body that was read.
func (m bodyMemory) read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, errBodyTooLong
	}
	// One byte more than the announced length, so that the end is found without growing.
	most := limit + 1
	if length >= 0 {
		most = min(most, max(length+1, minBodyBuffer))
	}
	body, err := m.grow(nil, min(max(length+1, minBodyBuffer), maxFirstBuffer, most))
	for err == nil {
		var n int
		n, err = r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == nil && len(body) == cap(body) {
			if int64(len(body)) > limit {
				err = errBodyTooLong
				break
			}
			body, err = m.grow(body, min(2*int64(cap(body)), max(most, int64(cap(body))+1)))
		}
	}
	if errors.Is(err, io.EOF) && int64(len(body)) > limit {
		err = errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	m.release(body)
	return nil, err
}

// grow returns the body in a buffer of the given size in bytes.
func (m bodyMemory) grow(body []byte, size int64) ([]byte, error) {
	more := size - int64(cap(body))
	if !m.pool.Take(m.conn, more, int64(cap(body)), m.wait) {
		return body, errBodyMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// release returns the memory of a body that is no longer used.
func (m bodyMemory) release(body []byte) { m.pool.Release(m.conn, int64(cap(body))) }

// memoryFor returns the memory of a pool for a body of the call.
func (c *call) memoryFor(pool *frontconn.Memory) bodyMemory {
	wait := min(maxMemoryWait, time.Duration(float64(c.timeLeft())*memoryWaitShare))
	return bodyMemory{pool: pool, conn: frontconn.FromContext(c.r.Context()), wait: wait}
}
