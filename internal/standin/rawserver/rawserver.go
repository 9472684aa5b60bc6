// Package rawserver is a stand-in HTTP server that writes the bytes of its responses itself, and so can send what
// net/http refuses to.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// Server reads requests and writes raw responses. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	answer   func(r *http.Request) string

	mu       sync.Mutex
	received int
	reused   int
}

// Listen starts a server on a free loopback port. answer returns the bytes of the response to a request, whose body
// has been read.
func Listen(answer func(r *http.Request) string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, answer: answer}
	go s.accept()
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server. Open connections stay until their clients close them.
func (s *Server) Close() { _ = s.listener.Close() }

// Received returns the number of requests.
func (s *Server) Received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// Reused returns the number of requests that were not the first one on their connection.
func (s *Server) Reused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of a connection, and leaves it open for further ones.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		s.mu.Lock()
		s.received++
		if n > 0 {
			s.reused++
		}
		s.mu.Unlock()
		if _, err := io.WriteString(conn, s.answer(r)); err != nil {
			return
		}
	}
}

// Response returns the bytes of a response with a length.
func Response(status, body string, lines ...string) string {
	head := append([]string{"HTTP/1.1 " + status}, lines...)
	return strings.Join(head, "\r\n") + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Record returns the bytes of the response of a handler.
func Record(h http.Handler, r *http.Request) string {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	lines := []string{}
	for name, values := range rec.Header() {
		for _, v := range values {
			lines = append(lines, name+": "+v)
		}
	}
	return Response(fmt.Sprintf("%d %s", rec.Code, http.StatusText(rec.Code)), rec.Body.String(), lines...)
}

// Malformed returns responses whose head is not allowed, by what is wrong with it. Apart from that they are
// responses with the given status, body and header lines.
func Malformed(status, body string, lines ...string) map[string]string {
	sound := Response(status, body, lines...)
	with := func(line string) string { return Response(status, body, append([]string{line}, lines...)...) }
	return map[string]string{
		"status 000":                     Response("000 None", body, lines...),
		"status 000, a response follows": Response("000 None", "") + sound,
		"status 600":                     Response("600 None", body, lines...),
		"status +20":                     Response("+20 None", body, lines...),
		"interim with status 000":        "HTTP/1.1 000 None\r\n\r\n" + sound,
		"protocol switch":                "HTTP/1.1 101 Switching\r\nUpgrade: odd\r\nConnection: Upgrade\r\n\r\n" + sound,

		"blank in a name":               with("X Odd: v"),
		"blank after a name":            with("X-Odd : v"),
		"blank before a name":           Response(status, body, append(lines, " X-Odd: v")...),
		"control byte in a name":        with("X\x01Odd: v"),
		"blank after the length's name": with("Content-Length : 1"),
		"blank in a name of an interim": "HTTP/1.1 103 Hints\r\nX Odd: v\r\n\r\n" + sound,
	}
}
