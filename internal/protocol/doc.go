// Package protocol defines the typed messages between daemons, their CBOR codec
// and the kinds of errors that callers, daemons and operators see.
package protocol
