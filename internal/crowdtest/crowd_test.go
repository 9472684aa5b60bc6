package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/platform"
)

// Size of the crowds. The crowds, and the bounds in process_test.go, were fixed on the code before it
// had limits for clients.
const (
	crowd       = 500
	fields      = 3500 // empty fields of one name that fit into headLimit
	otherFields = 2200 // empty fields of different names that fit into headLimit
	promptParts = 1900 // parts of a prompt, with names of up to 7 digits, that fit into headLimit
	repeats     = 20   // requests of a client that sends several
	pipelined   = 2000 // requests of a client that sends them without reading the responses
	tries       = 100  // of the ordinary request
	retryPause  = 100 * time.Millisecond
	slowPause   = 50 * time.Millisecond // between the bytes of a slow client
	// sendTimeout ends the sending of a client from which the daemon does not read.
	sendTimeout = 5 * time.Second
	// settleTime lets the daemon read what the crowd has sent. A shorter time hides faults only.
	settleTime = time.Second
)

// against starts a daemon for each kind of path, lets a crowd of clients connect to it, and checks that
// the process lives within its bounds and answers an ordinary request while the crowd is connected.
// send returns once the client has sent all that it sends at once.
func against(t *testing.T, path string, send func(i int, conn net.Conn, path string)) {
	for _, name := range []string{"route", "no route", "readiness"} {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t)
			addr, target := d.front, path
			switch name {
			case "no route":
				target = "/none"
			case "readiness":
				addr, target = d.ready, platform.ReadyPath
			}
			var wg sync.WaitGroup
			for i := range crowd {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					continue // the daemon may refuse connections
				}
				t.Cleanup(func() { _ = conn.Close() })
				_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
				wg.Go(func() { send(i, conn, target) })
			}
			wg.Wait()
			time.Sleep(settleTime)
			descriptors := d.descriptors()
			statuses := make(map[int]int)
			for range tries {
				status := d.request(d.front, "/book/ordinary")
				statuses[status]++
				if status == http.StatusOK || d.hasExited() {
					break
				}
				time.Sleep(retryPause)
			}
			d.Assert(d.hasExited(), qt.IsFalse)
			peak := d.peakMemory()
			t.Logf("peak memory %d MB, %d descriptors, ordinary request by status: %v", peak>>20, descriptors, statuses)
			d.Check(statuses[http.StatusOK], qt.Equals, 1, qt.Commentf("by status: %v", statuses))
			d.Check(peak < memoryBound, qt.IsTrue, qt.Commentf("%d MB, bound %d MB", peak>>20, memoryBound>>20))
			d.Check(descriptors < descriptorBound, qt.IsTrue, qt.Commentf("%d, bound %d", descriptors, descriptorBound))
			d.Check(d.request(d.ready, platform.ReadyPath), qt.Equals, http.StatusOK)
		})
	}
}

// head returns the start of a request head: its request line and the fields that each request has.
func head(i int, method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: crowd-%d\r\n", method, path, i)
}

// manyFields returns as many fields as a legal head holds, of one name or of different names.
func manyFields(i int) string {
	if i%2 == 0 {
		return strings.Repeat("a:\r\n", fields)
	}
	var b strings.Builder
	for k := range otherFields {
		fmt.Fprintf(&b, "%s:\r\n", string([]byte{byte('a' + k/676), byte('a' + k/26%26), byte('a' + k%26)}))
	}
	return b.String()
}

// write sends text. The daemon may close the connection at any time, so it ignores errors.
func write(conn net.Conn, text ...string) {
	for _, s := range text {
		if _, err := io.WriteString(conn, s); err != nil {
			return
		}
	}
}

// drip sends text byte by byte until it has ended or the connection has.
func drip(conn net.Conn, text string) {
	_ = conn.SetWriteDeadline(time.Time{})
	for i := range len(text) {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(slowPause)
	}
}

// Guards against a daemon that runs out of memory because the heads of many requests, which are legal
// in size, take a multiple of their size once they are parsed, and never end.
func TestHeadsOfManyFieldsThatStopShortOfTheirEnd(t *testing.T) {
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		write(conn, head(i, "GET", path), manyFields(i))
	})
}

// Guards against a daemon that runs out of memory because of whole heads of very many fields.
func TestWholeHeadsOfManyFields(t *testing.T) {
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		text := head(i, "GET", path) + manyFields(i) + "\r\n"
		r := bufio.NewReader(conn)
		_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
		for range repeats {
			write(conn, text)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}

// Guards against a daemon that runs out of memory because of prompts of as many parts as a head has room for.
func TestPromptsOfManyPartsThatNobodyShares(t *testing.T) {
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		r := bufio.NewReader(conn)
		_ = conn.SetReadDeadline(time.Now().Add(sendTimeout))
		for n := range repeats {
			var parts strings.Builder
			for k := range promptParts {
				fmt.Fprintf(&parts, "%x,", (i*repeats+n)<<13+k)
			}
			write(conn, head(i, "GET", path), "X-Prompt-Prefix: ", parts.String(), "0\r\n\r\n")
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}

// Guards against bodies that are never complete and take the memory of all ordinary ones.
func TestAnnouncedBodiesThatStopShortOfTheirEnd(t *testing.T) {
	body := strings.Repeat("x", maxBody-1)
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		write(conn, head(i, "POST", path), fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody), body)
	})
}

// Guards against the same with bodies of unannounced length.
func TestBodiesInChunksThatStopShortOfTheirEnd(t *testing.T) {
	body := fmt.Sprintf("%x\r\n%s\r\n", maxBody-1, strings.Repeat("x", maxBody-1))
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		write(conn, head(i, "POST", path), "Transfer-Encoding: chunked\r\n\r\n", body)
	})
}

// Guards against the same with bodies that come in many small pieces.
func TestBodiesInSmallPiecesThatStopShortOfTheirEnd(t *testing.T) {
	const pieces, piece = 64, 2 << 10
	announced := strings.Repeat("x", piece)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", piece, announced)
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		text := announced
		if i%2 == 0 {
			text = chunk
			write(conn, head(i, "POST", path), "Transfer-Encoding: chunked\r\n\r\n")
		} else {
			write(conn, head(i, "POST", path), fmt.Sprintf("Content-Length: %d\r\n\r\n", pieces*piece+1))
		}
		for range pieces {
			write(conn, text)
			time.Sleep(time.Millisecond)
		}
	})
}

// Guards against a daemon that reads, or holds, bodies that are longer than the configuration allows.
func TestBodiesFarOverTheLimit(t *testing.T) {
	const sent = 4 * maxBody
	block := strings.Repeat("x", 64<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		text := block
		if i%2 == 0 {
			text = chunk
			write(conn, head(i, "POST", path), "Transfer-Encoding: chunked\r\n\r\n")
		} else {
			write(conn, head(i, "POST", path), fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<30))
		}
		for n := 0; n < sent; n += len(block) {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	})
}

// Guards against responses that pile up for clients that send one request after the other and read
// nothing.
func TestPipelinedRequestsWithoutReadingTheResponses(t *testing.T) {
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		write(conn, strings.Repeat(head(i, "GET", path)+"\r\n", pipelined))
	})
}

// Guards against clients that keep a connection and its memory by sending a byte from time to time.
func TestVerySlowSenders(t *testing.T) {
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		switch i % 3 {
		case 0:
			go drip(conn, head(i, "GET", path)+strings.Repeat("a: b\r\n", fields))
		case 1:
			write(conn, head(i, "GET", path), manyFields(i))
			go drip(conn, strings.Repeat("a: b\r\n", fields))
		case 2:
			write(conn, head(i, "POST", path), fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody), strings.Repeat("x", maxBody/2))
			go drip(conn, strings.Repeat("x", maxBody/2))
		}
	})
}

// Guards against long responses that wait in memory for clients that read next to nothing.
func TestVerySlowReaders(t *testing.T) {
	against(t, "/book/long", func(i int, conn net.Conn, path string) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // a smaller window holds less of a response
		write(conn, strings.Repeat(head(i, "GET", path)+"\r\n", 4))
		go func() {
			for buf := make([]byte, 1); ; time.Sleep(slowPause) {
				if _, err := conn.Read(buf); err != nil {
					return
				}
			}
		}()
	})
}

// Guards against clients that stop at any point of a request and keep all descriptors.
func TestClientsThatStopHalfWay(t *testing.T) {
	against(t, "/book/x", func(i int, conn net.Conn, path string) {
		text := head(i, "POST", path) + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 1000)
		write(conn, text[:len(text)*(i%10)/9])
	})
}
