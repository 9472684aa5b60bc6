package deckconfig

import (
	"fmt"
	"strings"
)

// FieldError is one error of a configuration.
type FieldError struct {
	Object  string `json:"object"` // such as "adapter advice/blitz"
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error names the object, the field and the problem.
func (e FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Object, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", e.Object, e.Field, e.Problem)
}

// Errors are all errors of a configuration, in the order of its objects.
type Errors []FieldError

// Error returns one error a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// orNil returns nil instead of an empty list.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

func (e *Errors) add(object, field, format string, args ...any) {
	*e = append(*e, FieldError{Object: object, Field: field, Problem: fmt.Sprintf(format, args...)})
}
