package callers

import (
	"bytes"
	"encoding/json"
	"errors"
)

const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
	// textPlaceholder marks the place of the text in the template of an event. Nothing else
	// in the template contains it, because names in the configuration have no control
	// characters.
	textPlaceholder = "\x00"
)

var errNoPlaceholder = errors.New("callers: the template of an event has no text placeholder")

// chunkEncoder encodes the chunk events of one stream. It encodes the JSON around the text
// only once, because the events differ only in the text.
type chunkEncoder struct {
	prefix, suffix []byte // JSON before and after the text
	text           bytes.Buffer
	encoder        *json.Encoder
}

// appendChunkEvent appends the JSON of an event that carries text.
func (e *chunkEncoder) appendChunkEvent(buf []byte, c *completionSink, text []byte) ([]byte, error) {
	if e.encoder == nil {
		if err := e.prepare(c); err != nil {
			return buf, err
		}
	}
	e.text.Reset()
	if err := e.encoder.Encode(string(text)); err != nil {
		return buf, err
	}
	buf = append(buf, e.prefix...)
	buf = append(buf, bytes.TrimSuffix(e.text.Bytes(), []byte("\n"))...)
	return append(buf, e.suffix...), nil
}

// prepare encodes the template of an event and splits it at textPlaceholder into prefix and
// suffix.
func (e *chunkEncoder) prepare(c *completionSink) error {
	data, err := json.Marshal(c.response(c.chunkChoice(textPlaceholder, nil)))
	if err != nil {
		return err
	}
	placeholder, err := json.Marshal(textPlaceholder)
	if err != nil {
		return err
	}
	prefix, suffix, ok := bytes.Cut(data, placeholder)
	if !ok {
		return errNoPlaceholder
	}
	e.prefix, e.suffix = prefix, suffix
	e.encoder = json.NewEncoder(&e.text)
	return nil
}
