package httpconn

import (
	"errors"
	"fmt"
	"net/http"
)

// maxHeadBytes is the maximum size of a response head, together with the interim responses
// before it.
const maxHeadBytes = 64 << 10

var (
	// ErrHeadTooLarge reports a response head of more than maxHeadBytes. The connection
	// cannot be used any further.
	ErrHeadTooLarge = errors.New("httpconn: the response head is too large")

	errProtocolSwitch = errors.New("httpconn: the upstream switched protocols without being asked")
)

// headLimiter reads from a connection. While a response head is read, it limits the number
// of bytes.
type headLimiter struct {
	conn     *Conn
	limited  bool
	left     int  // bytes
	exceeded bool // a read failed because nothing was left
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.read(p)
	}
	if l.left <= 0 {
		l.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := l.read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (l *headLimiter) read(p []byte) (int, error) {
	n, err := l.conn.Read(p)
	if n > 0 {
		l.conn.recordBytes()
	}
	l.conn.recordRefusal(err)
	return n, err
}

// ReadResponse reads the head of the next response and skips interim responses. It fails with
// ErrHeadTooLarge if that takes more than maxHeadBytes.
func (c *Conn) ReadResponse(req *http.Request) (*http.Response, error) {
	c.head.limited, c.head.left = true, maxHeadBytes
	defer func() { c.head.limited = false }()
	for {
		resp, err := http.ReadResponse(c.Reader, req)
		switch {
		case err != nil && c.head.exceeded: // net/http does not wrap each error of its reader
			return nil, fmt.Errorf("%w: more than %d bytes", ErrHeadTooLarge, maxHeadBytes)
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errProtocolSwitch
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}
