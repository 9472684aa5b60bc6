// Package protocol defines the messages between daemons, their CBOR codec, the error
// kinds that callers, daemons and operators see, and the status types of the
// operators' API.
package protocol
