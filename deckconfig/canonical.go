package deckconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
)

// Canonical returns the canonical JSON of the configuration. Equal configurations
// have the same bytes on every machine: all lists but the ranks are sorted by
// name, every field has a fixed place and empty optional fields are left out.
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

// sorted returns a copy in canonical order.
func (c *Config) sorted() *Config {
	s := Config{
		Format:    c.Format,
		Ranks:     copyOf(c.Ranks),
		Customers: sortedBy(c.Customers, func(x Customer) string { return x.Name }),
		Services:  sortedBy(c.Services, func(x Service) string { return x.Name }),
		Operators: sortedBy(c.Operators, func(x Operator) string { return x.Name }),
	}
	for i := range s.Customers {
		s.Customers[i].KeyHashes = sortedBy(s.Customers[i].KeyHashes, self)
	}
	for i := range s.Operators {
		s.Operators[i].KeyHashes = sortedBy(s.Operators[i].KeyHashes, self)
	}
	for i := range s.Services {
		service := &s.Services[i]
		service.Customers = sortedBy(service.Customers, self)
		service.Adapters = sortedBy(service.Adapters, func(x Adapter) string { return x.Name })
		for j := range service.Adapters {
			adapter := &service.Adapters[j]
			adapter.Versions = sortedBy(adapter.Versions, func(x Version) string { return x.Name })
		}
	}
	return &s
}

func self(s string) string { return s }

// copyOf returns a copy that is never nil.
func copyOf[T any](list []T) []T { return append([]T{}, list...) }

func sortedBy[T any](list []T, name func(T) string) []T {
	sorted := copyOf(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
