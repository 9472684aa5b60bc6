package app

import (
	"context"
	"net/http"

	"github.com/celerydeck/celerydeck/internal/state/inflight"
)

// countRequests counts the callers' requests in flight. An answer that starts while the
// daemon is not ready asks the caller to close the connection, so that no request is
// sent on a connection that the daemon is about to close. When ended is done, the requests
// in flight are canceled.
func countRequests(ended context.Context, requests *inflight.Counter, ready readiness, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add()
		defer requests.Done()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ended, cancel)()
		next.ServeHTTP(&closingWriter{ResponseWriter: w, ready: ready}, r.WithContext(ctx))
	})
}

// closingWriter sets the header Connection: close if the daemon is not ready when the
// answer starts.
type closingWriter struct {
	http.ResponseWriter
	ready   readiness
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.setConnectionHeader()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(data []byte) (int, error) {
	w.setConnectionHeader()
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) setConnectionHeader() {
	if w.started {
		return
	}
	w.started = true
	if !w.ready.Ready() {
		w.Header().Set("Connection", "close")
	}
}
