package protocol

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrame is the largest frame in bytes.
const MaxFrame = 9 << 20

const frameHeaderLen = 5

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

// WriteMessage writes one frame: length, kind and the CBOR form of msg.
func WriteMessage(w io.Writer, kind MessageKind, msg any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	if len(body) > MaxFrame {
		return ErrFrameTooLarge
	}
	buf := make([]byte, frameHeaderLen, frameHeaderLen+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	buf[4] = byte(kind)
	_, err = w.Write(append(buf, body...))
	return err
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [frameHeaderLen]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return Frame{}, ErrFrameTooLarge
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return Frame{}, err
	}
	return Frame{Kind: MessageKind(header[4]), Payload: payload}, nil
}

// Decode decodes the payload into msg.
func (f Frame) Decode(msg any) error { return decMode.Unmarshal(f.Payload, msg) }
