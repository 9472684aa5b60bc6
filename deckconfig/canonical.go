package deckconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
)

// Canonical returns the canonical JSON of the configuration, which is the same on every machine for equal
// configurations. All lists except the ranks are sorted by name. Fields have a fixed order, and empty optional
// fields are omitted.
func (c *Config) Canonical() ([]byte, error) {
	var buf bytes.Buffer
	encoder := json.NewEncoder(&buf)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(c.sorted()); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Write writes the canonical JSON of the configuration.
func (c *Config) Write(w io.Writer) error {
	data, err := c.Canonical()
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// sorted returns a copy of the configuration with all lists in canonical order.
func (c *Config) sorted() *Config {
	s := Config{
		Format:    c.Format,
		Ranks:     cloneNonNil(c.Ranks),
		Customers: sortedBy(c.Customers, func(x Customer) string { return x.Name }),
		Services:  sortedBy(c.Services, func(x Service) string { return x.Name }),
		Operators: sortedBy(c.Operators, func(x Operator) string { return x.Name }),
	}
	for i := range s.Customers {
		s.Customers[i].KeyHashes = sortedBy(s.Customers[i].KeyHashes, identity)
	}
	for i := range s.Operators {
		s.Operators[i].KeyHashes = sortedBy(s.Operators[i].KeyHashes, identity)
	}
	for i := range s.Services {
		service := &s.Services[i]
		service.Customers = sortedBy(service.Customers, identity)
		service.Adapters = sortedBy(service.Adapters, func(x Adapter) string { return x.Name })
		for j := range service.Adapters {
			adapter := &service.Adapters[j]
			adapter.Versions = sortedBy(adapter.Versions, func(x Version) string { return x.Name })
		}
	}
	return &s
}

func identity(s string) string { return s }

// cloneNonNil returns a copy of list. The copy is not nil even if list is nil, so that an empty list is encoded
// as [] and not as null.
func cloneNonNil[T any](list []T) []T { return append([]T{}, list...) }

// sortedBy returns a copy of list that is sorted by name.
func sortedBy[T any](list []T, name func(T) string) []T {
	sorted := cloneNonNil(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
