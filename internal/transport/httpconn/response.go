package httpconn

import (
	"errors"
	"fmt"
	"net/http"
)

// maxHeadBytes is the maximum size of a response head, together with the interim responses
// before it.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge reports a response head of more than maxHeadBytes. The connection
// cannot be used any further.
var ErrHeadTooLarge = errors.New("httpconn: the response head is too large")

// headReader reads from a connection. While a response head is read, it limits the number
// of bytes and checks them.
type headReader struct {
	conn     *Conn
	inHead   bool
	left     int  // bytes
	exceeded bool // a read failed because nothing was left
	scanner  headScanner
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.read(p)
	}
	if r.scanner.err != nil { // net/http may have dropped the error
		return 0, r.scanner.err
	}
	if r.left <= 0 {
		r.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := r.read(p[:min(len(p), r.left)])
	r.left -= n
	if n, scanErr := r.scanner.scan(p[:n]); scanErr != nil {
		return n, scanErr
	}
	return n, err
}

func (r *headReader) read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.conn.recordBytes()
	}
	r.conn.recordRefusal(err)
	return n, err
}

// ReadResponse reads the head of the next response and skips interim responses. It fails with
// ErrHeadTooLarge if that takes more than maxHeadBytes, and with ErrMalformedHead if one of these
// heads is not allowed.
func (c *Conn) ReadResponse(req *http.Request) (*http.Response, error) {
	c.head.inHead, c.head.left, c.head.scanner = true, maxHeadBytes, headScanner{}
	defer func() { c.head.inHead = false }()
	buffered, _ := c.Reader.Peek(c.Reader.Buffered()) // can't fail
	if _, err := c.head.scanner.scan(buffered); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.Reader, req)
		switch {
		case c.head.scanner.err != nil: // net/http does not wrap each error of its reader
			return nil, c.head.scanner.err
		case err != nil && c.head.exceeded:
			return nil, fmt.Errorf("%w: more than %d bytes", ErrHeadTooLarge, maxHeadBytes)
		case err != nil:
			return nil, shorten(err)
		case resp.StatusCode >= http.StatusOK:
			hideTrailer(resp)
			return resp, nil
		}
	}
}

// maxErrorText is the length in bytes from which the text of a parse error is cut: net/http quotes
// whole values.
const maxErrorText = 160

// shortError is an error with a cut text.
type shortError struct {
	text string
	err  error
}

func (e *shortError) Error() string { return e.text }

// Unwrap returns the error with the whole text.
func (e *shortError) Unwrap() error { return e.err }

// shorten cuts the text of an error that is too long.
func shorten(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return &shortError{text: text[:maxErrorText] + "...", err: err}
	}
	return err
}
