// Package loading holds the building blocks for loading adapters into engines: it
// tracks the demand for each adapter, limits the loads of an engine, backs off failed
// loads and divides the limits of the weight store among engines.
package loading
