package engine

import (
	"encoding/json"
	"io"
	"net/http"
)

// refusalAfterInterim is a refusal behind an interim response.
const refusalAfterInterim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// cutHead is the beginning of the head of an answer.
const cutHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Boot-"

// repeatRefusal refuses a request behind an interim response. It runs the next request of the connection, and writes
// the refusal once more before its answer.
func (e *Engine) repeatRefusal(w http.ResponseWriter) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, refusalAfterInterim) // a failure shows up as a failed read
	r, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	var req CompletionRequest
	if json.NewDecoder(r.Body).Decode(&req) == nil {
		e.mu.Lock()
		e.attempts[req.RequestID]++
		e.mu.Unlock()
	}
	_, _ = io.WriteString(conn, refusalAfterInterim)
}

// writeCutHead writes a part of the head of an answer and closes the connection.
func writeCutHead(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, cutHead) // the client may have left
}
