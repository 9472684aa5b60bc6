// Package lenientjson decodes JSON documents that other programs contribute to. One odd value does
// not make the rest of a document unreadable.
package lenientjson

import "encoding/json"

// maxDepth is the nesting depth of a document beyond which values are read as null. encoding/json
// refuses a whole document that is nested more deeply than 10,000 levels.
const maxDepth = 200

// Unmarshal is like json.Unmarshal, but reads values that are nested more deeply than maxDepth
// as null if the document can't be decoded otherwise.
func Unmarshal(data []byte, v any) error {
	err := json.Unmarshal(data, v)
	if err == nil {
		return nil
	}
	flat, isChanged := cutDeepValues(data)
	if !isChanged {
		return err
	}
	return json.Unmarshal(flat, v)
}

// cutDeepValues returns a document with the arrays and objects nested more deeply than maxDepth
// replaced by null, and whether there were any.
func cutDeepValues(data []byte) ([]byte, bool) {
	var out []byte
	depth, kept := 0, 0 // data before kept is in out
	isText, isEscaped := false, false
	for i, b := range data {
		switch {
		case isEscaped:
			isEscaped = false
		case isText && b == '\\':
			isEscaped = true
		case b == '"':
			isText = !isText
		case isText:
		case b == '[' || b == '{':
			if depth++; depth == maxDepth+1 {
				out = append(append(out, data[kept:i]...), "null"...)
			}
		case b == ']' || b == '}':
			if depth--; depth == maxDepth {
				kept = i + 1
			}
		}
	}
	if out == nil || depth > maxDepth { // nothing to cut, or a deep value has no end
		return data, false
	}
	return append(out, data[kept:]...), true
}

// Slice is a list whose elements are decoded one by one. Elements that can't be decoded are counted
// and left out.
type Slice[T any] struct {
	Values  []T
	Skipped int
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Slice[T]) UnmarshalJSON(data []byte) error {
	*s = Slice[T]{}
	if json.Unmarshal(data, &s.Values) == nil && s.Values != nil { // the usual case takes a single pass
		return nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	s.Values, s.Skipped = make([]T, 0, len(list)), 0
	for _, raw := range list {
		var v T
		if json.Unmarshal(raw, &v) != nil {
			s.Skipped++
			continue
		}
		s.Values = append(s.Values, v)
	}
	return nil
}
