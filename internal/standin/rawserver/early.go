package rawserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	smallBuffer = 4 << 10   // bytes of the receive buffer of a socket
	uploadPart  = 100 << 10 // bytes of a request body that an Ending reads
	shortPause  = 20 * time.Millisecond
	longPause   = 200 * time.Millisecond
	// unreadPause is longer than the time after which a sender gives up on a peer that reads nothing.
	unreadPause = 3500 * time.Millisecond
)

// ListenSmall returns a listener on a free loopback port. Its connections have a small receive buffer, so that a long
// request is still being written while its response is received.
func ListenSmall() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// ServeEarly starts a server with a listener of ListenSmall. It calls answer with each request, of whose body nothing
// has been read, and with the connection, which answer has to end. Close stops the server.
func ServeEarly(answer func(r *http.Request, conn *net.TCPConn)) (*Server, error) {
	l, err := ListenSmall()
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				s.mu.Lock()
				s.received++
				s.mu.Unlock()
				answer(r, conn.(*net.TCPConn))
			}()
		}
	}()
	return s, nil
}

// ServeCut starts a server that reads each request and answers it with a response without a length, which it breaks off
// after the given part of the body.
func ServeCut(status, part string, lines ...string) (*Server, error) {
	head := strings.Join(append([]string{"HTTP/1.1 " + status}, lines...), "\r\n") + "\r\n\r\n"
	return ServeEarly(func(r *http.Request, conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, head+part)
		time.Sleep(shortPause)
		reset(conn)
	})
}

// Ending ends a connection after bytes of a response were written to it, while its request is still being written.
type Ending func(conn *net.TCPConn)

// Cuts returns endings that break the response off, by how they do.
func Cuts() map[string]Ending {
	return map[string]Ending{
		"reset at once":      reset,
		"reset after 20 ms":  func(conn *net.TCPConn) { time.Sleep(shortPause); reset(conn) },
		"reset after 200 ms": func(conn *net.TCPConn) { time.Sleep(longPause); reset(conn) },
		"reset after a part of the request": func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, uploadPart) // the request may be shorter
			reset(conn)
		},
		"request left unread": func(conn *net.TCPConn) { time.Sleep(unreadPause); reset(conn) },
	}
}

// Closes returns endings after which the response is complete, by how they end it.
func Closes() map[string]Ending {
	return map[string]Ending{
		"FIN, request read on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite() // the other side may have closed the connection, here and below
			_, _ = io.Copy(io.Discard, conn)
		},
		"FIN, request left unread": func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(longPause); reset(conn) },
		"FIN, then a reset":        func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(shortPause); reset(conn) },
		"FIN and a reset at once":  func(conn *net.TCPConn) { _ = conn.CloseWrite(); reset(conn) },
	}
}

// reset closes a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
