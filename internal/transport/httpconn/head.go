package httpconn

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

var (
	// ErrMalformedHead reports bytes that are no response head. Their request may have run, and
	// the connection cannot be used any further.
	ErrMalformedHead = errors.New("httpconn: malformed response head")

	errProtocolSwitch = fmt.Errorf("%w: the upstream switched protocols without being asked", ErrMalformedHead)
)

const (
	httpVersion  = "HTTP/1.1" // the digits may differ
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// headScanner checks the heads of one response, including those of interim responses, against the
// grammar of RFC 9112, sections 4 and 5, and the range of statuses of RFC 9110, section 15. net/http
// also accepts other statuses, names of fields with blanks in them, and folded lines, which can't be
// distinguished from names that begin with a blank. Errors are short and quote no field, since they
// may reach callers. The zero value is at the beginning of a response.
type headScanner struct {
	state  headState
	line   int // lines of the present head before this one
	offset int // bytes of the line so far
	digits int // of the status so far
	status int // value of these digits
	err    error
}

// headState says what the next byte of a head belongs to.
type headState uint8

const (
	inVersion headState = iota
	afterVersion
	inStatus
	afterStatus
	inReason
	atLineStart
	inName
	inValue
	atLineEnd // behind the carriage return of a line
	atHeadEnd // behind the carriage return of the empty line
	afterHead // behind the head of the final response
)

// scan checks further bytes of the response, up to the end of the final head. If a byte is not
// allowed, scan returns the number of bytes up to and including it, and an error that wraps
// ErrMalformedHead. Otherwise it returns the number of all bytes.
func (s *headScanner) scan(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	for i, b := range p {
		if s.state == afterHead {
			break
		}
		if s.next(b); s.err != nil {
			return i + 1, s.err
		}
	}
	return len(p), nil
}

// next checks one byte. The most frequent cases stand first.
func (s *headScanner) next(b byte) {
	s.offset++
	switch {
	case s.state == inValue && isValueByte(b):
	case s.state == inName && isNameByte(b):
	case s.state == inName && b == ':':
		s.state = inValue
	case s.state == inValue && b == '\r':
		s.state = atLineEnd
	case s.state == inReason && b != '\n':
	case s.state == inVersion && isVersionByte(b, httpVersion[s.offset-1]):
		if s.offset == len(httpVersion) {
			s.state = afterVersion
		}
	case s.state == afterVersion && b == ' ':
		s.state = inStatus
	case s.state == inStatus && isDigit(b):
		s.status, s.digits = 10*s.status+int(b-'0'), s.digits+1
		if s.digits == statusDigits {
			s.endStatus()
		}
	case s.state == afterStatus && b == ' ':
		s.state = inReason
	case s.state == afterStatus && b == '\r':
		s.state = atLineEnd
	case s.state == atLineStart && b == '\r':
		s.state = atHeadEnd
	case (s.state == atLineStart || s.state == atHeadEnd) && b == '\n':
		s.endHead()
	case s.state == atLineStart && isNameByte(b):
		s.state = inName
	case b == '\n' && (s.state == afterStatus || s.state == inReason || s.state == inValue || s.state == atLineEnd):
		s.state, s.line, s.offset = atLineStart, s.line+1, 0
	default:
		s.err = fmt.Errorf("%w: byte 0x%02x at offset %d of line %d (%s)", ErrMalformedHead, b, s.offset-1, s.line+1, s.state)
	}
}

// endStatus checks the status.
func (s *headScanner) endStatus() {
	switch {
	case s.status < minStatus || s.status > maxStatus:
		s.err = fmt.Errorf("%w: status %03d is not from %d to %d", ErrMalformedHead, s.status, minStatus, maxStatus)
	case s.status == http.StatusSwitchingProtocols:
		s.err = errProtocolSwitch
	}
	s.state = afterStatus
}

// endHead ends a head. After that of an interim response, another head follows.
func (s *headScanner) endHead() {
	if s.status < http.StatusOK {
		*s = headScanner{}
		return
	}
	s.state = afterHead
}

// String names the part of the head, for errors.
func (s headState) String() string {
	switch s {
	case inVersion, afterVersion:
		return "version"
	case inStatus, afterStatus:
		return "status"
	case atLineStart, inName:
		return "field name"
	case inValue:
		return "field value"
	default:
		return "line end"
	}
}

func isVersionByte(b, want byte) bool { return b == want || isDigit(b) && isDigit(want) }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isNameByte(b byte) bool { return httpguts.IsTokenRune(rune(b)) }

func isValueByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }
