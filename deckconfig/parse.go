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

// Parse decodes and validates a configuration and returns it in canonical order. It rejects unknown fields,
// duplicate fields, data after the configuration and configurations that Validate rejects.
func Parse(data []byte) (*Config, error) {
	if err := checkFields(data); err != nil {
		return nil, err
	}
	var config Config
	if err := json.Unmarshal(data, &config); err != nil {
		return nil, addLineNumber(data, err)
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return config.sorted(), nil
}

// addLineNumber adds the number of the line to a syntax or type error of encoding/json.
func addLineNumber(data []byte, err error) error {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return fmt.Errorf("line %d: %w", lineOf(data, syntaxErr.Offset), err)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Errorf("line %d: %s must be a %s, is a %s", lineOf(data, typeErr.Offset), typeErr.Field, typeErr.Type, typeErr.Value)
	}
	return err
}

// lineOf returns the number of the line at an offset.
func lineOf(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}

// checkFields rejects unknown and duplicate fields at any depth. It reads the JSON tokens and compares them with
// the fields of Config, because encoding/json accepts duplicate fields.
func checkFields(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	c := fieldChecker{data: data, decoder: decoder, fields: make(map[reflect.Type]map[string]reflect.Type)}
	if err := c.value(reflect.TypeFor[Config](), "configuration"); err != nil {
		return addLineNumber(data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		c.errs.add("configuration", "", "line %d: data after the end of the configuration", lineOf(data, decoder.InputOffset()))
	}
	return c.errs.errorOrNil()
}

// fieldChecker reads JSON tokens and compares the names of JSON fields with the JSON names of Go struct fields.
type fieldChecker struct {
	data    []byte
	decoder *json.Decoder
	errs    Errors
	fields  map[reflect.Type]map[string]reflect.Type // cache of fieldsOf
}

// value checks the next value against type t. Below an unknown field t is nil, and value reports only duplicate
// fields.
func (c *fieldChecker) value(t reflect.Type, path string) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return c.object(t, path)
	case json.Delim('['):
		return c.list(t, path)
	}
	return nil
}

// object checks the fields of a JSON object, whose opening brace has been read, against the struct type t.
func (c *fieldChecker) object(t reflect.Type, path string) error {
	known := c.fieldsOf(t)
	seen := make(map[string]bool, len(known))
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		field, ok := known[name]
		if !ok && t != nil {
			c.errs.add(path, name, "line %d: unknown field", lineOf(c.data, c.decoder.InputOffset()))
		}
		if seen[name] {
			c.errs.add(path, name, "line %d: duplicate field", lineOf(c.data, c.decoder.InputOffset()))
		}
		seen[name] = true
		if err := c.value(field, path+"."+name); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// list checks the elements of a JSON array, whose opening bracket has been read.
func (c *fieldChecker) list(t reflect.Type, path string) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; c.decoder.More(); i++ {
		if err := c.value(element, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// fieldsOf returns the JSON names and types of the fields of a struct type, or nil for other types.
func (c *fieldChecker) fieldsOf(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	if fields := c.fields[t]; fields != nil {
		return fields
	}
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	c.fields[t] = fields
	return fields
}
