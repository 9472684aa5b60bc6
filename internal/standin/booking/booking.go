// Package booking is a small stand-in for a plain service whose calls must not
// repeat. It counts how often each booking was executed.
package booking

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const maxBody = 1 << 20

// Booking is the body of a booking.
type Booking struct {
	Item string `json:"item"`
}

// Receipt is the answer to a booking.
type Receipt struct {
	Item   string `json:"item"`
	Number int    `json:"number"`
}

// Server is the stand-in.
type Server struct {
	mu       sync.Mutex
	runs     map[string]int
	order    []string
	delay    time.Duration
	loseNext int
}

// New returns a service without bookings.
func New() *Server { return &Server{runs: make(map[string]int)} }

// SetDelay sets how long each booking takes.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers makes the next n bookings run and lose their answers.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// Runs returns how often an item was booked.
func (s *Server) Runs(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[item]
}

// Handler serves the service: POST books, GET lists.
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
	s.runs[b.Item]++
	s.order = append(s.order, b.Item)
	number, delay := len(s.order), s.delay
	lost := s.loseNext > 0
	if lost {
		s.loseNext--
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Receipt{Item: b.Item, Number: number})
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	items := append([]string{}, s.order...)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(items)
}
