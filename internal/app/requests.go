package app

import (
	"net/http"

	"github.com/celerydeck/celerydeck/internal/state/inflight"
)

// countRequests counts the callers' requests in progress. An answer that begins
// while the daemon drains asks the caller to close the connection, so that no later
// request meets a connection that the daemon closes.
func countRequests(requests *inflight.Counter, ready readiness, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add()
		defer requests.Done()
		next.ServeHTTP(&closingWriter{ResponseWriter: w, ready: ready}, r)
	})
}

// closingWriter sets Connection: close when the answer begins during a drain.
type closingWriter struct {
	http.ResponseWriter
	ready readiness
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(data []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController the writer below.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if !w.ready.Ready() {
		w.Header().Set("Connection", "close")
	}
}
