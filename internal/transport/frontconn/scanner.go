package frontconn

import "bytes"

var comma = []byte(",")

// scanner finds the end of a request head, which is the first empty line after others. Empty lines before a
// head belong to it: net/http skips some.
type scanner struct {
	size, lines int
	items       int  // commas, which separate the items of lists
	inLine      bool // the current line has a byte other than its end
	hasText     bool // there was a line that is not empty
}

// scan reads more of a head. It returns the number of bytes up to the end of the head, or 0 if the head has not ended.
func (s *scanner) scan(p []byte) int {
	for pos := 0; pos < len(p); {
		i := bytes.IndexByte(p[pos:], '\n')
		if i < 0 {
			s.inLine = s.inLine || !isEmpty(p[pos:])
			break
		}
		isBlank := !s.inLine && isEmpty(p[pos:pos+i])
		pos += i + 1
		s.lines++
		s.inLine = false
		if !isBlank {
			s.hasText = true
		} else if s.hasText {
			s.size += pos
			s.items += bytes.Count(p[:pos], comma)
			return pos
		}
	}
	s.size += len(p)
	s.items += bytes.Count(p, comma)
	return 0
}

// isEmpty reports whether a line without its line feed has no text.
func isEmpty(line []byte) bool { return len(line) == 0 || len(line) == 1 && line[0] == '\r' }

// chunkScanner finds the end of a request body in chunks. Of a malformed body it finds none; net/http closes
// the connection then.
type chunkScanner struct {
	state chunkState
	left  int64 // what is left of the chunk's data and the line end after it
	line  scanner
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkTrailer
)

// maxChunk is more than a body may have. A longer chunk is malformed.
const maxChunk = 1 << 40

// scan reads more of a body. It returns the number of bytes up to the end of the body, or 0 if the body has
// not ended. It is then ready for the next body.
func (s *chunkScanner) scan(p []byte) int {
	for i := 0; i < len(p); {
		switch s.state {
		case chunkData:
			n := min(s.left, int64(len(p)-i))
			i += int(n)
			if s.left -= n; s.left == 0 {
				s.state = chunkSize
			}
		case chunkTrailer:
			n := s.line.scan(p[i:])
			if n == 0 {
				return 0
			}
			*s = chunkScanner{}
			return i + n
		default:
			s.sizeByte(p[i])
			i++
		}
	}
	return 0
}

// sizeByte reads a byte of the line before a chunk.
func (s *chunkScanner) sizeByte(b byte) {
	switch {
	case b == '\n' && s.left == 0:
		s.state, s.line = chunkTrailer, scanner{hasText: true}
	case b == '\n':
		s.state = chunkData
		s.left += int64(len("\r\n"))
	case s.state == chunkExtension || s.left >= maxChunk:
	case b >= '0' && b <= '9':
		s.left = s.left<<4 | int64(b-'0')
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		s.left = s.left<<4 | int64(b|0x20-'a'+10)
	default:
		s.state = chunkExtension
	}
}
