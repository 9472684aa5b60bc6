package frontconn

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/coordination/clientbudget"
)

const (
	// headWait is the most time that a whole request head waits for memory.
	headWait = time.Second
	// firstBuffer is the first size of the buffer for a head that does not arrive at once. It is the size
	// of net/http's buffer, so that no more is kept of a pipelined request.
	firstBuffer = 4 << 10
	// writeBlock is the most that is written at once, so that progress is noticed.
	writeBlock = 16 << 10
	// pipelinedBurst is the number of requests that a client may send ahead of their responses until each further
	// one is delayed by pipelinedPause. Without the delay, 160 clients that pipeline made garbage faster than it was
	// collected, up to 100 MB on a machine of 96 MB. The count starts anew once the client has waited for pipelinedGap.
	pipelinedBurst = 16
	pipelinedPause = 5 * time.Millisecond
	pipelinedGap   = time.Millisecond
	// unknownLength stands for a body that ends with its last chunk.
	unknownLength = -1

	headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errRefused is what the server reads after refuse. net/http answers nothing after an io.EOF.
var errRefused = io.EOF

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	guard *Guard
	addr  string
	held  [clientbudget.Parts]atomic.Int64

	phase    atomic.Int32 // a clientbudget.Phase other than Response
	since    atomic.Int64 // start of the phase, as time since the guard's start
	progress atomic.Int64 // last byte that arrived or was sent
	received atomic.Int64 // bytes in the phase
	served   atomic.Bool  // has completed a request
	aborted  atomic.Int32 // clientbudget.Reason why the connection was closed, if it was

	// Of the current response: the start of the write that is in progress or zero, the time of the
	// earlier ones, and the bytes that were sent.
	writeSince, writeTime, sent atomic.Int64

	body     atomic.Int64 // what is left of the request body, or unknownLength
	headHeld atomic.Int64 // memory reserved for the head of the request in progress
	bufHeld  atomic.Int64 // memory reserved for buf

	// Of the goroutine that reads.
	buf       []byte // received and not passed on
	allowed   int    // bytes at the start of buf that may be passed on
	scanned   int    // bytes at the start of buf that the scanner has seen
	head      scanner
	chunks    chunkScanner
	pipelined int // requests that arrived ahead of the response to the one before
	isRefused bool
}

func newConn(g *Guard, nc net.Conn) *Conn {
	c := &Conn{Conn: nc, guard: g}
	c.addr, _, _ = net.SplitHostPort(nc.RemoteAddr().String())
	now := int64(g.now())
	c.since.Store(now)
	c.progress.Store(now)
	return c
}

// NetConn returns the connection below this one.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// enter starts a phase.
func (c *Conn) enter(p clientbudget.Phase, now int64) {
	c.since.Store(now)
	c.received.Store(0)
	c.phase.Store(int32(p))
}

// client returns what is known of the client.
func (c *Conn) client() clientbudget.Client {
	k := clientbudget.Client{
		Addr: c.addr, Phase: clientbudget.Phase(c.phase.Load()), Since: time.Duration(c.since.Load()), Progress: time.Duration(c.progress.Load()),
		Moved: c.received.Load(), Served: c.served.Load(),
	}
	if start := c.writeSince.Load(); start != 0 {
		k.Phase, k.Moved = clientbudget.Response, c.sent.Load()
		k.Since = time.Duration(start - c.writeTime.Load())
		k.Progress = max(k.Progress, time.Duration(start))
	}
	for p := range k.Held {
		k.Held[p] = c.held[p].Load()
	}
	return k
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case len(p) == 1:
		// net/http reads one byte while a handler runs, to notice that the client has left. That byte is the
		// first of the next request.
		n, err := c.next(p)
		c.head.scan(p[:n])
		c.scanned = max(0, c.scanned-n)
		c.allowed = max(0, c.allowed-n)
		return n, err
	case c.body.Load() != 0:
		return c.readBody(p)
	}
	return c.readHead(p)
}

// next reads bytes that have been kept, or else from the connection.
func (c *Conn) next(p []byte) (int, error) {
	if len(c.buf) > 0 {
		n := copy(p, c.buf)
		c.drop(n)
		return n, nil
	}
	return c.receive(p)
}

// receive reads from the connection.
func (c *Conn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.progress.Store(int64(c.guard.now()))
		c.received.Add(int64(n))
	}
	return n, err
}

// drop removes bytes from the start of the buffer.
func (c *Conn) drop(n int) {
	c.buf = c.buf[n:]
	if len(c.buf) == 0 {
		c.buf = nil
		c.guard.release(c, clientbudget.Heads, c.bufHeld.Swap(0))
	}
}

// readBody returns bytes of a request body, and none beyond its end.
func (c *Conn) readBody(p []byte) (int, error) {
	left := c.body.Load()
	if left > 0 {
		n, err := c.next(p[:min(int64(len(p)), left)])
		if c.body.Store(left - int64(n)); left == int64(n) {
			c.enter(clientbudget.Running, int64(c.guard.now()))
		}
		return n, err
	}
	isKept := len(c.buf) > 0
	n, err := copy(p, c.buf), error(nil)
	if !isKept {
		n, err = c.receive(p)
	}
	end := c.chunks.scan(p[:n])
	if end == 0 {
		end = n
	} else {
		c.body.Store(0)
		c.enter(clientbudget.Running, int64(c.guard.now()))
	}
	if isKept {
		c.drop(end)
	} else {
		c.keep(p[end:n])
	}
	return end, err
}

// readHead returns bytes of a request head once the whole head has arrived and there is memory for it.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.isRefused {
		return 0, errRefused
	}
	if c.allowed == 0 {
		if len(c.buf) == 0 {
			n, err := c.receive(p)
			if n == 0 {
				return 0, err
			}
			if c.guard.now()-time.Duration(c.since.Load()) > pipelinedGap {
				c.pipelined = 0
			}
			c.beginHead()
			end := c.head.scan(p[:n])
			if end > 0 {
				if !c.admitHead() {
					return 0, errRefused
				}
				c.keep(p[end:n])
				return end, nil
			}
			if !c.growBuffer(max(n, firstBuffer)) {
				return 0, errRefused
			}
			c.buf = append(c.buf, p[:n]...)
			c.scanned = n
			if err != nil {
				return 0, err
			}
		}
		if err := c.completeHead(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.buf[:c.allowed])
	c.allowed -= n
	c.scanned -= n
	c.drop(n)
	return n, nil
}

// completeHead reads until a whole head is in the buffer and may be passed on.
func (c *Conn) completeHead() error {
	if clientbudget.Phase(c.phase.Load()) == clientbudget.Idle {
		if c.pipelined++; c.pipelined > pipelinedBurst {
			time.Sleep(pipelinedPause)
		}
	}
	c.beginHead()
	for {
		if end := c.head.scan(c.buf[c.scanned:]); end > 0 {
			c.scanned += end
			c.allowed = c.scanned
			if !c.admitHead() {
				return errRefused
			}
			return nil
		}
		c.scanned = len(c.buf)
		if int64(c.head.size) > c.guard.maxHead.Load() {
			c.refuse(clientbudget.HeadTooLong, headTooLong)
			return errRefused
		}
		if len(c.buf) == cap(c.buf) && !c.growBuffer(max(firstBuffer, min(2*len(c.buf), int(c.guard.maxHead.Load())+1))) {
			return errRefused
		}
		n, err := c.receive(c.buf[len(c.buf):cap(c.buf)])
		c.buf = c.buf[:len(c.buf)+n]
		if n == 0 && err != nil {
			return err
		}
	}
}

// beginHead notes the first bytes of a head.
func (c *Conn) beginHead() {
	if clientbudget.Phase(c.phase.Load()) == clientbudget.Idle {
		c.enter(clientbudget.Head, int64(c.guard.now()))
	}
}

// keep stores bytes beyond the end of a head.
func (c *Conn) keep(rest []byte) {
	if len(rest) > 0 {
		c.buf = append(c.buf, rest...)
	}
	c.scanned = 0
}

// growBuffer makes room for size bytes in the buffer. It refuses the client if there is no memory.
func (c *Conn) growBuffer(size int) bool {
	more := int64(size) - c.bufHeld.Load()
	if more > 0 && !c.guard.take(c, clientbudget.Heads, more, c.held[clientbudget.Heads].Load(), headWait) {
		c.refuse(clientbudget.HeadsShort, *c.guard.refusal.Load())
		return false
	}
	c.bufHeld.Add(max(more, 0))
	grown := make([]byte, len(c.buf), size)
	copy(grown, c.buf)
	c.buf = grown
	return true
}

// admitHead reserves the memory for a whole head. It refuses the request if there is none.
func (c *Conn) admitHead() bool {
	cost := min(clientbudget.RequestCost(c.head.size, c.head.lines, c.head.items), c.guard.limits.HeadMemory*3/4)
	c.head = scanner{}
	if !c.guard.take(c, clientbudget.Heads, cost, c.held[clientbudget.Heads].Load(), headWait) {
		c.refuse(clientbudget.HeadsShort, *c.guard.refusal.Load())
		return false
	}
	c.headHeld.Add(cost)
	c.enter(clientbudget.Running, int64(c.guard.now()))
	return true
}

// refuse answers a request that net/http has not seen, and that no handler will see.
func (c *Conn) refuse(r clientbudget.Reason, response string) {
	c.isRefused = true
	if c.aborted.CompareAndSwap(0, int32(r)) {
		c.guard.closed[r].Add(1)
	}
	_ = c.SetWriteDeadline(time.Now().Add(sweepInterval))
	_, _ = c.Conn.Write([]byte(response)) // the client may have left
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	start := int64(c.guard.now())
	c.writeSince.Store(start)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBlock)])
		written += n
		now := int64(c.guard.now())
		c.progress.Store(now)
		c.sent.Add(int64(n))
		if err != nil || written == len(p) {
			c.writeTime.Add(now - start)
			c.writeSince.Store(0)
			return written, err
		}
	}
}

// endRequest notes that the response to a request is complete.
func (c *Conn) endRequest() {
	c.guard.release(c, clientbudget.Heads, c.headHeld.Swap(0))
	c.writeTime.Store(0)
	c.sent.Store(0)
	c.body.Store(0)
	c.served.Store(true)
	c.enter(clientbudget.Idle, int64(c.guard.now()))
}

// abort closes the connection. The server notices it at its next read or write.
func (c *Conn) abort(r clientbudget.Reason) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.abortLocked(r)
}

// abortLocked is abort for callers that hold the guard's lock.
func (c *Conn) abortLocked(r clientbudget.Reason) {
	if !c.aborted.CompareAndSwap(0, int32(r)) {
		return
	}
	c.guard.closed[r].Add(1)
	delete(c.guard.conns, c)
	if clientbudget.Phase(c.phase.Load()) == clientbudget.Idle && c.served.Load() {
		_ = c.Conn.Close() // the end of the last response may still be on its way
		return
	}
	reset(c.Conn)
}

// WasAborted reports whether the connection was closed, or its request refused, because of a limit.
func (c *Conn) WasAborted() bool { return c != nil && c.aborted.Load() != 0 }

// Close implements net.Conn. The server calls it when it no longer uses the connection.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	delete(c.guard.conns, c)
	c.guard.mu.Unlock()
	c.guard.release(c, clientbudget.Heads, c.headHeld.Swap(0)+c.bufHeld.Swap(0))
	return c.Conn.Close()
}
