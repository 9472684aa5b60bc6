package gateway

import "net/http"

// fate is what became of the connection of an attempt.
type fate int32

const (
	fateOpen    fate = iota // in use by the attempt
	fateKept                // given back to the pool
	fateClosed              // closed in order after a whole response
	fateReset               // closed with a reset
	fateDialing             // not open yet when the attempt ended
	fateNone                // the step has no connection
)

func (f fate) String() string {
	return [...]string{"open", "kept", "closed", "reset", "dialing", ""}[f]
}

// connFate returns what has become of the connection so far.
func (x *exchange) connFate() fate { return fate(x.fate.Load()) }

// endConn ends the use of the connection by the attempt. Only its first call returns true: several
// goroutines may end an attempt, and after the connection was given back, another request uses it.
func (x *exchange) endConn(f fate) bool { return x.fate.CompareAndSwap(int32(fateOpen), int32(f)) }

// reset ends the attempt without its whole response: it resets the connection, so that nothing of
// the request reaches the upstream any more. Any goroutine may call it.
func (x *exchange) reset() {
	if x.endConn(fateReset) {
		x.conn.Abort()
	}
}

// resetFor resets the connection like reset and logs the step. It logs before the attempt's own
// goroutine can go on, which changes what the line reads.
func (x *exchange) resetFor(step string) {
	if x.endConn(fateReset) {
		x.c.logStep(step, x.u, fateReset, nil)
		x.conn.Abort()
	}
}

// release ends the attempt after its whole response. It gives the connection back to the pool if
// it can carry another request. A connection on which the request body was written in the
// background is reset: the upstream may have responded before it read the whole body, and must
// not receive the rest of it later.
func (x *exchange) release(resp *http.Response, a ResponseMetadata) {
	// Stop the watch first: a caller that leaves now must not reset the connection, which the
	// next request may use.
	isWatchStopped := x.stopCallerWatch()
	switch {
	case !isWatchStopped || x.bodyInBackground:
		x.reset()
	case resp.Close || isUnframed(resp):
		if x.endConn(fateClosed) {
			_ = x.conn.Close()
		}
	case x.endConn(fateKept):
		x.c.g.opts.Pool.Put(x.u.Addr, x.conn, a.KeepAlive)
	}
}
