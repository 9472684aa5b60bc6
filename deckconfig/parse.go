package deckconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Parse reads a configuration and checks it. It refuses unknown fields, fields
// that stand twice, data after the configuration and whatever Validate
// refuses. The result is in canonical order.
func Parse(data []byte) (*Config, error) {
	if err := checkFields(data); err != nil {
		return nil, err
	}
	var config Config
	if err := json.Unmarshal(data, &config); err != nil {
		return nil, describe(data, err)
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return config.sorted(), nil
}

// describe adds the line to an error of the JSON library.
func describe(data []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Errorf("line %d: %w", lineOf(data, syntax.Offset), err)
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Errorf("line %d: %s must be a %s, is a %s", lineOf(data, wrong.Offset), wrong.Field, wrong.Type, wrong.Value)
	}
	return err
}

func lineOf(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}

// checkFields compares the fields of the JSON with those of Config.
func checkFields(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	w := walker{data: data, decoder: decoder, fields: make(map[reflect.Type]map[string]reflect.Type)}
	if err := w.value(reflect.TypeFor[Config](), "configuration"); err != nil {
		return describe(data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		w.errs.add("configuration", "", "line %d: data after the end of the configuration", lineOf(data, decoder.InputOffset()))
	}
	return w.errs.orNil()
}

type walker struct {
	data    []byte
	decoder *json.Decoder
	errs    Errors
	fields  map[reflect.Type]map[string]reflect.Type
}

func (w *walker) value(t reflect.Type, path string) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return w.object(t, path)
	case json.Delim('['):
		return w.list(t, path)
	}
	return nil
}

func (w *walker) object(t reflect.Type, path string) error {
	known := w.fieldsOf(t)
	seen := make(map[string]bool, len(known))
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		field, ok := known[name]
		if !ok && t != nil {
			w.errs.add(path, name, "line %d: unknown field", lineOf(w.data, w.decoder.InputOffset()))
		}
		if seen[name] {
			w.errs.add(path, name, "line %d: field stands twice", lineOf(w.data, w.decoder.InputOffset()))
		}
		seen[name] = true
		if err := w.value(field, path+"."+name); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *walker) list(t reflect.Type, path string) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(element, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}

// fieldsOf returns the JSON fields of a struct type, and none of other types.
func (w *walker) fieldsOf(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	if fields := w.fields[t]; fields != nil {
		return fields
	}
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	w.fields[t] = fields
	return fields
}
