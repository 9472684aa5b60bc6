// Package queue orders the requests that wait for one upstream: work within its
// class's entitlement first, then by rank, then by the time at which the first
// token is due.
package queue
