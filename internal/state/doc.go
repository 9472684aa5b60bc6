// Package state holds the identifiers and the sharded tables that the decision
// code of celerydeck reads and updates. It does no I/O and reads no clock.
package state
