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

// MaxFrame is the largest payload of a frame in bytes.
const MaxFrame = 9 << 20

const (
	frameHeaderLen = 5
	readChunkBytes = 64 << 10
)

// ErrFrameTooLarge is the error for a payload larger than MaxFrame.
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

// Frame is a message whose payload is not decoded yet.
type Frame struct {
	Kind    MessageKind
	Payload []byte
}

// frameBuffers holds reusable buffers for encoding frames.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBytes is the capacity of the largest buffer that is reused.
const maxPooledBytes = 64 << 10

var encMode = mustEncMode()

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// WriteMessage writes a frame with the length, the kind and the CBOR encoding of msg in
// a single call of Write.
func WriteMessage(w io.Writer, kind MessageKind, msg any) error {
	buf := frameBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBytes {
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

// ReadFrame reads one frame from r and no bytes beyond it.
func ReadFrame(r io.Reader) (Frame, error) {
	reader := FrameReader{r: r}
	return reader.Next()
}

// FrameReader reads successive frames into a reused buffer.
type FrameReader struct {
	r      io.Reader
	header [frameHeaderLen]byte
	buf    []byte
}

// NewFrameReader returns a buffered reader of the frames of r.
func NewFrameReader(r io.Reader) *FrameReader { return &FrameReader{r: bufio.NewReader(r)} }

// Next reads one frame. The frame's payload is valid until the next call of Next; decoded
// messages do not refer to the payload. The buffer grows in steps as the payload arrives,
// so that a frame header alone cannot make the reader allocate the announced length.
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
		f.buf = slices.Grow(f.buf, min(size-from, readChunkBytes))[:min(size, from+readChunkBytes)]
		if _, err := io.ReadFull(f.r, f.buf[from:]); err != nil {
			return Frame{}, unexpectedEOF(err)
		}
	}
	return Frame{Kind: MessageKind(f.header[frameHeaderLen-1]), Payload: f.buf}, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for a stream that ended within a
// frame. It returns other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Decode decodes the CBOR payload into msg.
func (f Frame) Decode(msg any) error { return decMode.Unmarshal(f.Payload, msg) }
