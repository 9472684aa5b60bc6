package soak

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a link that delivers the bytes of a connection that its sender has reset, which no
// network does.
func TestABlockedLinkDiscardsTheBytesOfAResetConnection(t *testing.T) {
	for name, isOpenFirst := range map[string]bool{"while blocked": false, "after traffic": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer server.Close()
			received := make(chan string, 2)
			go func() {
				for {
					conn, err := server.Accept()
					if err != nil {
						return
					}
					var data strings.Builder
					_, _ = io.Copy(conn, io.TeeReader(conn, &data)) // ends with the connection, whatever the error
					received <- data.String()
					_ = conn.Close()
				}
			}()
			link, err := NewLink(server.Addr().String())
			c.Assert(err, qt.IsNil)
			defer link.Close()
			aborted := dialAndWrite(c, link, isOpenFirst, "x")
			time.Sleep(50 * time.Millisecond) // the link reads the first bytes, or fails to
			reset(aborted)
			closed := dialAndWrite(c, link, false, "closed")
			_ = closed.Close()
			link.SetMode(ModeOpen)
			want := map[string]int{"closed": 1}
			if isOpenFirst {
				want["ab"] = 1
			}
			got := make(map[string]int)
			for range want {
				got[<-received]++
			}
			c.Assert(got, qt.DeepEquals, want)
		})
	}
}

// dialAndWrite writes text to a blocked link, on a connection that has carried other bytes before
// if isOpenFirst.
func dialAndWrite(c *qt.C, link *Link, isOpenFirst bool, text string) net.Conn {
	if isOpenFirst {
		link.SetMode(ModeOpen)
	} else {
		link.SetMode(ModeBlock)
	}
	conn, err := net.Dial("tcp", link.Addr)
	c.Assert(err, qt.IsNil)
	if isOpenFirst {
		_, err = io.WriteString(conn, "ab")
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 2)) // the echo: the link has passed them on
		c.Assert(err, qt.IsNil)
		link.SetMode(ModeBlock)
	}
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn
}
