package protocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrame is the largest frame in bytes.
const MaxFrame = 9 << 20

const (
	frameHeaderLen = 5
	readStep       = 64 << 10 // bytes that are read at once
)

// ErrFrameTooLarge reports a frame over MaxFrame.
var ErrFrameTooLarge = errors.New("protocol: frame exceeds the maximum size")

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 10,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Frame is one undecoded message.
type Frame struct {
	Kind    MessageKind
	Payload []byte
}

// frameBuffers holds buffers for the encoding of frames.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooled is the largest buffer in bytes that is kept for reuse.
const maxPooled = 64 << 10

var encMode = mustEncMode()

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// WriteMessage writes one frame: length, kind and the CBOR form of msg. It calls
// Write once.
func WriteMessage(w io.Writer, kind MessageKind, msg any) error {
	buf := frameBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooled {
			frameBuffers.Put(buf)
		}
	}()
	buf.Reset()
	buf.Write([]byte{0, 0, 0, 0, byte(kind)})
	if err := encMode.MarshalToBuffer(msg, buf); err != nil {
		return err
	}
	frame := buf.Bytes()
	size := len(frame) - frameHeaderLen
	if size > MaxFrame {
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	_, err := w.Write(frame)
	return err
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (Frame, error) {
	reader := FrameReader{r: r}
	return reader.Next()
}

// FrameReader reads frames into a buffer that it uses again.
type FrameReader struct {
	r      io.Reader
	header [frameHeaderLen]byte
	buf    []byte
}

// NewFrameReader returns a reader of the frames of r.
func NewFrameReader(r io.Reader) *FrameReader { return &FrameReader{r: bufio.NewReader(r)} }

// Next reads one frame. Its payload is valid until the next call; decoding copies
// what it needs. Memory is taken as the payload arrives, not as the header says.
func (f *FrameReader) Next() (Frame, error) {
	if _, err := io.ReadFull(f.r, f.header[:]); err != nil {
		return Frame{}, err
	}
	size := int(binary.BigEndian.Uint32(f.header[:]))
	if size > MaxFrame {
		return Frame{}, ErrFrameTooLarge
	}
	f.buf = f.buf[:0]
	for len(f.buf) < size {
		from := len(f.buf)
		f.buf = slices.Grow(f.buf, min(size-from, readStep))[:min(size, from+readStep)]
		if _, err := io.ReadFull(f.r, f.buf[from:]); err != nil {
			return Frame{}, unexpected(err)
		}
	}
	return Frame{Kind: MessageKind(f.header[frameHeaderLen-1]), Payload: f.buf}, nil
}

// unexpected turns the end of the stream within a frame into an error.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Decode decodes the payload into msg.
func (f Frame) Decode(msg any) error { return decMode.Unmarshal(f.Payload, msg) }
