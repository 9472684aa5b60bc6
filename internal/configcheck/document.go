package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/platform"
)

// document holds the line of each entry of a configuration, by path.
type document struct {
	root  reflect.Type
	lines map[string]int
}

// line returns the line of a path, or of the closest entry around it.
func (d *document) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return d.lines[""] // of the whole document
}

// has reports whether the document contains a path.
func (d *document) has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// path returns the path of an entry. Its parts are names of fields of Go structs and indexes of
// lists. The names in the path are those of the json tags.
func (d *document) path(parts ...any) string {
	var b strings.Builder
	t := d.root
	for _, part := range parts {
		switch part := part.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", part)
			t = elementType(t)
		case string:
			for t.Kind() == reflect.Pointer {
				t = t.Elem()
			}
			field, ok := t.FieldByName(part)
			if !ok {
				panic("configcheck: " + t.String() + " has no field " + part)
			}
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(jsonName(field))
			t = field.Type
		}
	}
	return b.String()
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// elementType returns the type of the elements of a list. Accounts of the platform are decoded one
// by one, so that the type of the list does not name it.
func elementType(t reflect.Type) reflect.Type {
	t = t.Elem()
	if t == reflect.TypeFor[json.RawMessage]() {
		return reflect.TypeFor[platform.ConfigAccount]()
	}
	return t
}

// formatOf returns the format of a configuration. Configurations that can't be read count as of the
// platform.
func formatOf(data []byte) Format {
	var top map[string]json.RawMessage
	if json.Unmarshal(data, &top) != nil {
		return Platform
	}
	for _, name := range []string{"format", "ranks", "customers"} {
		if _, ok := top[name]; ok {
			return Own
		}
	}
	return Platform
}

// read checks the syntax, the names and the types of a configuration and records the lines of its
// entries. It reports whether the configuration is a JSON object.
func (c *checker) read(data []byte, root reflect.Type) bool {
	c.doc = document{root: root, lines: make(map[string]int)}
	var raw json.RawMessage
	var syntax *json.SyntaxError
	if err := json.Unmarshal(data, &raw); errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(syntax.Offset, int64(len(data)))], []byte("\n"))
		c.report.Findings = append(c.report.Findings, Finding{Severity: Error, Kind: Unreadable, Line: line, Text: "is not JSON: " + syntaxProblem(data, syntax)})
		return false
	}
	s := scanner{checker: c, data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	s.decoder.UseNumber()
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		c.add(Error, Unreadable, "", "must be a JSON object")
		return false
	}
	s.value(root, "")
	return true
}

// syntaxProblem describes a syntax error without quoting the document, which may contain keys.
func syntaxProblem(data []byte, err *json.SyntaxError) string {
	if err.Offset >= int64(len(data)) {
		return "the document ends too early"
	}
	return fmt.Sprintf("syntax error at byte %d", err.Offset)
}

// scanner reads the tokens of a document of valid syntax.
type scanner struct {
	*checker
	data    []byte
	decoder *json.Decoder
	offset  int64 // up to which lines are counted
	line    int   // at offset
	secret  bool  // within an account
}

// next returns the next token and advances the line to it.
func (s *scanner) next() json.Token {
	token, err := s.decoder.Token()
	if err != nil && !errors.Is(err, io.EOF) {
		panic("configcheck: token of a valid document: " + err.Error())
	}
	end := s.decoder.InputOffset()
	s.line += bytes.Count(s.data[s.offset:end], []byte("\n"))
	s.offset = end
	return token
}

// value checks the next value against a type. The type is nil below unknown fields.
func (s *scanner) value(t reflect.Type, path string) {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token := s.next()
	if !s.doc.has(path) {
		s.doc.lines[path] = s.line
	}
	switch token {
	case json.Delim('{'):
		if t != nil && t.Kind() != reflect.Struct {
			s.wrongType(t, path)
			t = nil
		}
		s.object(t, path)
	case json.Delim('['):
		if t != nil && t.Kind() != reflect.Slice {
			s.wrongType(t, path)
			t = nil
		}
		s.list(t, path)
	default:
		s.scalar(t, path, token)
	}
}

func (s *scanner) scalar(t reflect.Type, path string, token json.Token) {
	if t == nil || token == nil {
		return
	}
	literal, err := json.Marshal(token)
	if err != nil || json.Unmarshal(literal, reflect.New(t).Interface()) != nil {
		s.wrongType(t, path)
	}
}

func (s *scanner) wrongType(t reflect.Type, path string) {
	s.add(Error, WrongType, path, "must be %s", describeType(t))
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of 0 or more"
	default:
		return "a whole number"
	}
}

// plainName matches names of fields that may be shown.
var plainName = regexp.MustCompile(`^[A-Za-z][A-Za-z_]{0,31}$`)

// object checks the fields of an object. Below unknown fields the path stays the same, as the length
// of all paths would grow with the square of the depth. The opening brace has been read. As
// encoding/json does, object compares names regardless of case.
func (s *scanner) object(t reflect.Type, path string) {
	if t == reflect.TypeFor[platform.ConfigAccount]() || t == reflect.TypeFor[deckconfig.Customer]() || t == reflect.TypeFor[deckconfig.Operator]() {
		s.secret = true
		defer func() { s.secret = false }()
	}
	seen := make(map[string]bool)
	for s.decoder.More() {
		name, _ := s.next().(string)
		field, known := fieldNamed(t, name)
		var fieldType reflect.Type
		shown := "(unknown)"
		switch {
		case known:
			shown, fieldType = jsonName(field), field.Type
		case plainName.MatchString(name) && !s.secret:
			shown = name
		}
		at := path
		if t != nil {
			at = strings.TrimPrefix(path+"."+shown, ".")
		}
		switch {
		case t != nil && !known:
			s.unknownField(at)
		case known && seen[shown]:
			s.report.Findings = append(s.report.Findings, Finding{Severity: Error, Kind: DuplicateField, Path: at, Line: s.line, Text: "occurs twice in one object"})
		}
		seen[shown] = true
		s.value(fieldType, at)
	}
	s.next()
}

// unknownField reports a field that the format doesn't have. Only the own format refuses them.
func (s *scanner) unknownField(path string) {
	severity, text := Warning, "the format has no such field; daemons ignore it"
	if s.report.Format == Own {
		severity, text = Error, "the format has no such field"
	}
	s.report.Findings = append(s.report.Findings, Finding{Severity: severity, Kind: UnknownField, Path: path, Line: s.line, Text: text})
}

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	if t != nil && t.Kind() == reflect.Struct {
		for field := range t.Fields() {
			if strings.EqualFold(jsonName(field), name) {
				return field, true
			}
		}
	}
	return reflect.StructField{}, false
}

// list checks the elements of a list, the opening bracket of which has been read.
func (s *scanner) list(t reflect.Type, path string) {
	var element reflect.Type
	if t != nil {
		element = elementType(t)
	}
	for i := 0; s.decoder.More(); i++ {
		at := path
		if t != nil {
			at = fmt.Sprintf("%s[%d]", path, i)
		}
		s.value(element, at)
	}
	s.next()
}
