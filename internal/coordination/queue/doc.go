// Package queue orders the requests that wait for one upstream: first requests within the
// usual rate of their class, then by rank, then by the time at which the first token is
// due.
package queue
