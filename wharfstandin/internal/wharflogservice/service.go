package wharflogservice

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfstream"
)

// Faults are the troubles of the service. The zero Faults has none.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// SlowMs delays every call, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers is how many appends take effect without an answer.
	LoseAnswers int `json:"lose-answers"`
}

// Service is a log in memory with a rate limit and faults.
type Service struct {
	log  wharflog.Memory
	rate float64

	mu     sync.Mutex
	faults Faults
	tokens float64
	filled time.Time
}

// New returns a service that keeps records for a time and takes a number of
// appends a second.
func New(retention time.Duration, rate float64) *Service {
	return &Service{log: wharflog.Memory{Retention: retention}, rate: rate, tokens: rate, filled: time.Now()}
}

// Handler returns the routes of the service, that for its faults included.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", wharflog.Handler(s))
	mux.HandleFunc("PUT /faults", s.setFaults)
	return mux
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	w.WriteHeader(http.StatusNoContent)
}

// Append adds a record, if the faults and the rate limit let it.
func (s *Service) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := s.injectFaults(); err != nil {
		return 0, err
	}
	if !s.take() {
		return 0, wharfstream.ErrRateLimited
	}
	offset, err := s.log.Append(ctx, stream, data)
	if err == nil && s.loses() {
		return 0, wharfstream.ErrUncertain
	}
	return offset, err
}

// Read returns records, if the faults let it.
func (s *Service) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error) {
	if err := s.injectFaults(); err != nil {
		return wharfstream.Batch{}, err
	}
	return s.log.Read(ctx, stream, from, limit, wait)
}

// injectFaults lets the faults act on a call.
func (s *Service) injectFaults() error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
	if f.Down {
		return wharfstream.ErrUnavailable
	}
	return nil
}

// take takes one append from the rate limit.
func (s *Service) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.filled).Seconds()*s.rate, max(s.rate, 1))
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Service) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
