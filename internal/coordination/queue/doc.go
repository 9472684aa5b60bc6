// Package queue orders the requests that wait for one upstream. Requests within the usual
// rate of their class precede requests beyond it. After that the order is by rank, then by
// the time at which the first token is due.
package queue
