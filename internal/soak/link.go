package soak

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// LinkMode selects what a link does with its traffic: pass, delay, block or reset it.
type LinkMode string

// Link modes. A blocked TCP link holds back bytes and delivers them when it is open
// again, as retransmission would, unless their sender has reset its connection.
const (
	ModeOpen      LinkMode = "open"
	ModeDelayed   LinkMode = "delayed"
	ModeBlockTo   LinkMode = "blocked towards the server"
	ModeBlockFrom LinkMode = "blocked from the server"
	ModeBlock     LinkMode = "blocked both ways"
	ModeReset     LinkMode = "reset"
)

const (
	linkDelay        = 120 * time.Millisecond
	dialTimeout      = time.Second
	copyBufferBytes  = 32 << 10
	maxDatagramBytes = 2048
	// maxListenAttempts limits the ports that a new link tries to listen on.
	maxListenAttempts = 5
)

// modeSwitch holds the mode of a link. It is safe for concurrent use.
type modeSwitch struct {
	mu      sync.Mutex
	mode    LinkMode
	changed chan struct{} // closed when the mode changes
}

func newModeSwitch() *modeSwitch { return &modeSwitch{mode: ModeOpen, changed: make(chan struct{})} }

func (g *modeSwitch) get() (LinkMode, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mode, g.changed
}

func (g *modeSwitch) set(m LinkMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	close(g.changed)
	g.changed = make(chan struct{})
}

// blocks reports whether a mode blocks the direction towards the server or from it.
func (m LinkMode) blocks(toServer bool) bool {
	return m == ModeBlock || toServer && m == ModeBlockTo || !toServer && m == ModeBlockFrom
}

// waitOpen waits until the link passes bytes in a direction. It returns false if the link
// is reset or done is closed first.
func (g *modeSwitch) waitOpen(toServer bool, done <-chan struct{}) bool {
	for {
		mode, changed := g.get()
		switch {
		case mode == ModeReset:
			return false
		case mode == ModeDelayed:
			time.Sleep(linkDelay)
			return true
		case !mode.blocks(toServer):
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Link is a loopback TCP proxy to one server that can delay, block and reset traffic.
type Link struct {
	Addr   string
	target string
	mode   *modeSwitch

	mu     sync.Mutex
	listen net.Listener
	conns  map[net.Conn]bool
}

// NewLink starts an open link to the TCP address target.
func NewLink(target string) (*Link, error) {
	l := &Link{target: target, mode: newModeSwitch(), conns: make(map[net.Conn]bool)}
	var err error
	for range maxListenAttempts { // another process may take a free port first
		var port int
		if port, err = freePorts(1); err != nil {
			return nil, err
		}
		l.Addr = fmt.Sprintf("127.0.0.1:%d", port)
		if err = l.Accept(); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// Accept starts to listen, also again after Refuse.
func (l *Link) Accept() error {
	listen, err := net.Listen("tcp", l.Addr)
	if err != nil {
		return fmt.Errorf("soak: open link to %s: %w", l.target, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listen = listen
	go l.accept(listen)
	return nil
}

// Refuse stops listening, so that new connections are refused, and resets all connections.
func (l *Link) Refuse() {
	l.mu.Lock()
	_ = l.listen.Close()
	l.mu.Unlock()
	l.resetAll()
}

// SetMode changes the mode. ModeReset also resets all connections.
func (l *Link) SetMode(m LinkMode) {
	l.mode.set(m)
	if m == ModeReset {
		l.resetAll()
	}
}

// Close stops listening and resets all connections.
func (l *Link) Close() { l.Refuse() }

func (l *Link) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // send RST instead of FIN
	}
	_ = c.Close()
}

// wasReset reports whether the peer has reset a connection. A read shows that only after the bytes
// that were received before the reset.
func wasReset(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	var pending int
	err = raw.Control(func(fd uintptr) {
		// A socket without the option has no error to report.
		pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return err == nil && pending != 0
}

func (l *Link) accept(listen net.Listener) {
	for {
		c, err := listen.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go l.serve(c)
	}
}

// track adds an open connection to the set that resetAll resets, or removes it.
func (l *Link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *Link) serve(c net.Conn) {
	defer reset(c)
	done := make(chan struct{})
	if !l.mode.waitOpen(true, done) || wasReset(c) {
		return
	}
	s, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		return
	}
	defer reset(s)
	for _, conn := range []net.Conn{c, s} {
		l.track(conn, true)
		defer l.track(conn, false)
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); l.copy(s, c, true, done) }()
	go func() { defer wg.Done(); l.copy(c, s, false, done) }()
	wg.Wait()
}

func (l *Link) copy(to, from net.Conn, toServer bool, done chan struct{}) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		if !l.mode.waitOpen(toServer, done) || wasReset(from) {
			reset(to)
			reset(from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// PacketLink is a loopback UDP proxy to one server. It drops the datagrams that arrive
// while the link is blocked or reset.
type PacketLink struct {
	Addr   string
	target *net.UDPAddr
	mode   *modeSwitch
	listen *net.UDPConn

	mu          sync.Mutex
	serverConns map[string]*net.UDPConn // by client address
}

// NewPacketLink starts an open link to the UDP address target.
func NewPacketLink(target string) (*PacketLink, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("soak: resolve %s: %w", target, err)
	}
	listen, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("soak: open link to %s: %w", target, err)
	}
	l := &PacketLink{Addr: listen.LocalAddr().String(), target: to, mode: newModeSwitch(), listen: listen, serverConns: make(map[string]*net.UDPConn)}
	go l.forward()
	return l, nil
}

// SetMode changes the mode.
func (l *PacketLink) SetMode(m LinkMode) { l.mode.set(m) }

// Close closes all sockets of the link.
func (l *PacketLink) Close() {
	_ = l.listen.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.serverConns {
		_ = c.Close()
	}
}

// deliver sends, delays or drops a datagram according to the mode.
func (l *PacketLink) deliver(toServer bool, data []byte, send func([]byte) error) {
	mode, _ := l.mode.get()
	switch {
	case mode == ModeReset || mode.blocks(toServer):
	case mode == ModeDelayed:
		delayed := append([]byte(nil), data...)
		time.AfterFunc(linkDelay, func() { _ = send(delayed) }) // UDP may lose datagrams
	default:
		_ = send(data)
	}
}

func (l *PacketLink) forward() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.listen.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if conn := l.serverConn(from); conn != nil {
			l.deliver(true, buf[:n], func(b []byte) error { _, err := conn.Write(b); return err })
		}
	}
}

// serverConn returns the socket that forwards the datagrams of a client to the server
// and its replies back, or nil if it cannot be opened.
func (l *PacketLink) serverConn(from *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.serverConns[from.String()]; c != nil {
		return c
	}
	c, err := net.DialUDP("udp", nil, l.target)
	if err != nil {
		return nil
	}
	l.serverConns[from.String()] = c
	go func() {
		buf := make([]byte, maxDatagramBytes)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				l.deliver(false, buf[:n], func(b []byte) error { _, err := l.listen.WriteToUDP(b, from); return err })
			}
		}
	}()
	return c
}
