// Package booking is a stand-in for a plain service with non-idempotent calls. It counts
// how often each booking was executed.
package booking

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const maxBody = 1 << 20

// Booking is the body of a booking request.
type Booking struct {
	Item string `json:"item"`
}

// Receipt is the response to a booking request. Number counts all bookings.
type Receipt struct {
	Item   string `json:"item"`
	Number int    `json:"number"`
}

// Server is the booking service. It is safe for concurrent use.
type Server struct {
	mu            sync.Mutex
	executions    map[string]int
	booked        []string
	delay         time.Duration
	answersToLose int
}

// New returns a server without bookings.
func New() *Server { return &Server{executions: make(map[string]int)} }

// SetDelay sets how long each booking takes.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers makes the next n bookings run and drop the connection unanswered.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Runs returns how often a booking of the item was executed.
func (s *Server) Runs(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[item]
}

// Handler returns the HTTP API: POST books an item, GET lists the booked items in order.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.book)
	mux.HandleFunc("GET /", s.list)
	return mux
}

func (s *Server) book(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&b); err != nil {
		http.Error(w, "bad booking", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.executions[b.Item]++
	s.booked = append(s.booked, b.Item)
	number, delay := len(s.booked), s.delay
	loseAnswer := s.answersToLose > 0
	if loseAnswer {
		s.answersToLose--
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Receipt{Item: b.Item, Number: number})
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	items := append([]string{}, s.booked...)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(items)
}
