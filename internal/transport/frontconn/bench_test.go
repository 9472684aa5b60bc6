package frontconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest measures a request with a body of 2,000 bytes over loopback, with and without a guard.
func BenchmarkRequest(b *testing.B) {
	text := []byte("POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000))
	handler := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	for _, isGuarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guard=%v", isGuarded), func(b *testing.B) {
			addr := ""
			if isGuarded {
				addr = serve(b, NewGuard(testLimits()), handler)
			} else {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				s := &http.Server{Handler: http.HandlerFunc(handler)}
				go func() { _ = s.Serve(l) }()
				b.Cleanup(func() { _ = s.Close() })
				addr = l.Addr().String()
			}
			conn := dial(b, addr)
			r := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(text); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body) // a failure shows in the next response
				_ = resp.Body.Close()
			}
		})
	}
}

// BenchmarkHeadCost measures the memory of a request head in bytes allocated per field, as net/http parses
// it and the gateway copies it for an upstream.
func BenchmarkHeadCost(b *testing.B) {
	for name, field := range map[string]func(i int) string{
		"one name":   func(int) string { return "a:\r\n" },
		"many names": func(i int) string { return fmt.Sprintf("n%x:\r\n", i) },
	} {
		for _, fields := range []int{10, 500, 2200, 3500} {
			b.Run(fmt.Sprintf("%s/%d", name, fields), func(b *testing.B) {
				var text bytes.Buffer
				text.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
				for i := range fields {
					text.WriteString(field(i))
				}
				text.WriteString("\r\n")
				b.ReportAllocs()
				for b.Loop() {
					r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text.Bytes())))
					if err != nil {
						b.Fatal(err)
					}
					var out bytes.Buffer
					_ = r.Header.Clone().Write(&out) // a buffer never fails
				}
			})
		}
	}
}
