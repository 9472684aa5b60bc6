package deckconfig

import (
	"fmt"
	"strings"
)

// FieldError is an error in one field of a configuration.
type FieldError struct {
	Object  string `json:"object"` // such as "adapter advice/blitz"
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error returns the object, the field if it is set, and the problem.
func (e FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Object, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", e.Object, e.Field, e.Problem)
}

// Errors lists all errors of a configuration, ordered as the objects of the configuration.
type Errors []FieldError

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// errorOrNil returns the list as an error, or nil if it is empty.
func (e Errors) errorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

func (e *Errors) add(object, field, format string, args ...any) {
	*e = append(*e, FieldError{Object: object, Field: field, Problem: fmt.Sprintf(format, args...)})
}
