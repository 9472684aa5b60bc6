// Package measure evaluates the routing, scheduling and loading decisions of the daemons.
// It simulates engines and the weight store in virtual time and reports how well requests
// were served. The same seed gives exactly the same result.
package measure
