// Package holdlink is a loopback TCP link for tests that holds back bytes while it is cut and
// delivers them when it heals, unless their sender has reset its connection.
package holdlink

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

const copyBuffer = 32 << 10 // bytes

// Link is a link to one server. It is safe for concurrent use.
type Link struct {
	Addr   string // where clients connect
	target string
	listen net.Listener

	mu      sync.Mutex
	changed *sync.Cond // any field below
	isCut   bool
	pipes   []*pipe // towards the server
}

// pipe is one direction of a connection. It reads eagerly, so that it sees a reset of its sender
// at once, and holds what it has read until the link passes it on.
type pipe struct {
	held      []byte
	senderEnd error // io.EOF after an ordinary close; nil while the sender is connected
	isDone    bool  // everything was delivered or discarded
	late      int   // bytes that were delivered after the sender's end
}

// New starts an open link to a server.
func New(target string) (*Link, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: listen.Addr().String(), target: target, listen: listen}
	l.changed = sync.NewCond(&l.mu)
	go func() {
		for {
			conn, err := listen.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// Close stops listening and lets all held bytes pass.
func (l *Link) Close() {
	_ = l.listen.Close()
	l.Heal()
}

// Cut holds back all bytes, and the opening of connections, in both directions.
func (l *Link) Cut() { l.set(func() { l.isCut = true }) }

// Heal delivers what is held, and passes bytes again.
func (l *Link) Heal() { l.set(func() { l.isCut = false }) }

// Ends returns how many clients have ended their connections.
func (l *Link) Ends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(hasEnded)
}

// AwaitEnds waits until n clients have ended their connections.
func (l *Link) AwaitEnds(n int) { l.await(hasEnded, n) }

// AwaitHeld waits until the link holds bytes of n clients.
func (l *Link) AwaitHeld(n int) { l.await(hasHeld, n) }

// Held returns the number of clients of which the link holds bytes.
func (l *Link) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(hasHeld)
}

// AwaitFlushed waits until everything that n clients sent before their end was delivered or
// discarded.
func (l *Link) AwaitFlushed(n int) { l.await(func(p *pipe) bool { return p.isDone }, n) }

// DeliveredLate returns the number of bytes that reached the server after the end of the
// client's connection.
func (l *Link) DeliveredLate() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.pipes {
		n += p.late
	}
	return n
}

// Resets returns how many clients have reset their connections.
func (l *Link) Resets() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(func(p *pipe) bool { return hasEnded(p) && !errors.Is(p.senderEnd, io.EOF) })
}

func (l *Link) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.changed.Broadcast()
}

func (l *Link) await(holds func(*pipe) bool, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.count(holds) < n {
		l.changed.Wait()
	}
}

// count counts the pipes for which a condition holds. The caller holds l.mu.
func (l *Link) count(holds func(*pipe) bool) int {
	n := 0
	for _, p := range l.pipes {
		if holds(p) {
			n++
		}
	}
	return n
}

func hasHeld(p *pipe) bool { return len(p.held) > 0 }

func hasEnded(p *pipe) bool { return p.senderEnd != nil }

func (l *Link) serve(client net.Conn) {
	defer client.Close()
	up := &pipe{}
	l.set(func() { l.pipes = append(l.pipes, up) })
	go l.read(client, up)
	if !l.awaitOpen(up) {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	down := &pipe{}
	go l.read(server, down)
	go l.deliver(client, down)
	l.deliver(server, up)
}

// read reads from the sender of a pipe until its end.
func (l *Link) read(from net.Conn, p *pipe) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		l.set(func() {
			p.held = append(p.held, buf[:n]...)
			if err != nil {
				p.senderEnd = err
			}
			if errors.Is(err, syscall.ECONNRESET) {
				p.held, p.isDone = nil, true
			}
		})
		if err != nil {
			return
		}
	}
}

// awaitOpen waits until the link may open a connection to the server. It returns false if the
// client has reset its connection first.
func (l *Link) awaitOpen(p *pipe) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isCut && !p.isDone {
		l.changed.Wait()
	}
	return !p.isDone
}

// deliver writes what the pipe holds, until the end of its sender. It passes on a reset.
func (l *Link) deliver(to net.Conn, p *pipe) {
	for {
		l.mu.Lock()
		for !p.isDone && (l.isCut || len(p.held) == 0 && p.senderEnd == nil) {
			l.changed.Wait()
		}
		data := p.held
		p.held = nil
		wasReset, ended := p.isDone, hasEnded(p)
		l.mu.Unlock()
		t, ok := to.(*net.TCPConn)
		switch {
		case wasReset:
			if ok {
				_ = t.SetLinger(0)
			}
			_ = to.Close()
			return
		case len(data) == 0:
			if ok {
				_ = t.CloseWrite()
			}
			l.set(func() { p.isDone = true })
			return
		}
		n, err := to.Write(data)
		l.set(func() {
			if ended {
				p.late += n
			}
			p.isDone = p.isDone || err != nil
		})
		if err != nil {
			return
		}
	}
}
