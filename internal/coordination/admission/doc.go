// Package admission marks the requests of a class beyond its usual rate, tracks the
// batch slots that each rank uses, and estimates start delays.
package admission
