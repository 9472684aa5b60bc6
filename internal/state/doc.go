// Package state defines the identifiers, the configuration catalog and the sharded
// table of upstreams on which routing decisions work. It does no I/O and reads no
// clock.
package state
