package callers

import (
	"bytes"
	"encoding/json"
	"errors"
)

const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
	// textMark stands for the text in the template of an event. Names of the
	// configuration hold no control characters.
	textMark = "\x00"
)

var errTemplate = errors.New("callers: the template of an event has no text")

// eventWriter encodes the events of one stream. All but the text is the same in
// each of them, so it is encoded once.
type eventWriter struct {
	before, after []byte
	text          bytes.Buffer
	encoder       *json.Encoder
}

// appendPart appends the JSON of an event with a part of the text.
func (e *eventWriter) appendPart(buf []byte, c *completionSink, text []byte) ([]byte, error) {
	if e.encoder == nil {
		if err := e.prepare(c); err != nil {
			return buf, err
		}
	}
	e.text.Reset()
	if err := e.encoder.Encode(string(text)); err != nil {
		return buf, err
	}
	buf = append(buf, e.before...)
	buf = append(buf, bytes.TrimSuffix(e.text.Bytes(), []byte("\n"))...)
	return append(buf, e.after...), nil
}

func (e *eventWriter) prepare(c *completionSink) error {
	data, err := json.Marshal(c.response(c.partChoice(textMark, nil)))
	if err != nil {
		return err
	}
	mark, err := json.Marshal(textMark)
	if err != nil {
		return err
	}
	before, after, ok := bytes.Cut(data, mark)
	if !ok {
		return errTemplate
	}
	e.before, e.after = before, after
	e.encoder = json.NewEncoder(&e.text)
	return nil
}
