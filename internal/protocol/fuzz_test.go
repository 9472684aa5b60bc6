package protocol_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
)

// newMessage returns an empty message of a kind, or nil for kinds that the test does not
// cover.
func newMessage(kind protocol.MessageKind) any {
	switch kind {
	case protocol.MsgCall:
		return &protocol.Call{}
	case protocol.MsgHead:
		return &protocol.Head{}
	case protocol.MsgChunk:
		return &protocol.Chunk{}
	case protocol.MsgEnd:
		return &protocol.End{}
	case protocol.MsgHeartbeat:
		return &protocol.Heartbeat{}
	case protocol.MsgHeartbeatAck:
		return &protocol.HeartbeatAck{}
	}
	return nil
}

func samples() map[protocol.MessageKind]any {
	ref := state.AdapterRef{Service: "advice", Adapter: "blitz", Version: "v1"}
	return map[protocol.MessageKind]any{
		protocol.MsgCall:  protocol.Call{RequestID: "r", Model: &protocol.ModelCall{Adapter: ref, Body: []byte("{}")}},
		protocol.MsgHead:  protocol.Head{Attempt: 1, Adapter: ref, Header: []protocol.HeaderField{{Name: "A", Value: "b"}}},
		protocol.MsgChunk: protocol.Chunk{Attempt: 1, Offset: 2, Count: 1, Data: []byte("x")},
		protocol.MsgEnd:   protocol.End{Err: &protocol.Error{Kind: protocol.KindInternal}},
		protocol.MsgHeartbeat: protocol.Heartbeat{
			Daemon: "d", Upstreams: []protocol.UpstreamStatus{{ID: "e", Resident: []state.AdapterRef{ref}}},
		},
		protocol.MsgHeartbeatAck: protocol.HeartbeatAck{Sequence: 7},
	}
}

// FuzzFrames reads arbitrary bytes as frames. A message that decodes must be equal after
// it was encoded and decoded again.
func FuzzFrames(f *testing.F) {
	for kind, msg := range samples() {
		var buf bytes.Buffer
		qt.Assert(f, protocol.WriteMessage(&buf, kind, msg), qt.IsNil)
		f.Add(buf.Bytes())
		f.Add(buf.Bytes()[:buf.Len()/2])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			frame, err := protocol.ReadFrame(r)
			if err != nil {
				return
			}
			msg := newMessage(frame.Kind)
			if msg == nil || frame.Decode(msg) != nil {
				continue
			}
			var buf bytes.Buffer
			qt.Assert(t, protocol.WriteMessage(&buf, frame.Kind, msg), qt.IsNil)
			reread, err := protocol.ReadFrame(&buf)
			qt.Assert(t, err, qt.IsNil)
			decoded := newMessage(frame.Kind)
			qt.Assert(t, reread.Decode(decoded), qt.IsNil)
			qt.Assert(t, reflect.DeepEqual(canonical(msg), canonical(decoded)), qt.IsTrue)
		}
	})
}

// canonical encodes a message, which makes empty and absent lists equal.
func canonical(msg any) []byte {
	var buf bytes.Buffer
	_ = protocol.WriteMessage(&buf, protocol.MsgCall, msg)
	return buf.Bytes()
}

func TestFrameOverTheLimitIsRefusedBeforeItIsRead(t *testing.T) {
	var header [5]byte
	binary.BigEndian.PutUint32(header[:], protocol.MaxFrame+1)
	_, err := protocol.ReadFrame(io.MultiReader(bytes.NewReader(header[:]), neverRead{t}))
	qt.Check(t, err, qt.Equals, protocol.ErrFrameTooLarge)
}

type neverRead struct{ t *testing.T }

func (n neverRead) Read([]byte) (int, error) {
	n.t.Error("the payload was read")
	return 0, io.EOF
}

func TestDecodedMessageOutlivesTheBufferOfItsFrame(t *testing.T) {
	var buf bytes.Buffer
	for _, text := range []string{"first", "other"} {
		qt.Assert(t, protocol.WriteMessage(&buf, protocol.MsgChunk, protocol.Chunk{Data: []byte(text)}), qt.IsNil)
	}
	r := protocol.NewFrameReader(&buf)
	var first, second protocol.Chunk
	for _, msg := range []*protocol.Chunk{&first, &second} {
		frame, err := r.Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, frame.Decode(msg), qt.IsNil)
	}
	qt.Check(t, string(first.Data), qt.Equals, "first")
	qt.Check(t, string(second.Data), qt.Equals, "other")
}
