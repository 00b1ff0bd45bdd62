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

// Faults are the faults that the service injects. The zero Faults injects none.
type Faults struct {
	// Down fails every call with wharfstream.ErrUnavailable.
	Down bool `json:"down"`
	// SlowMs is the delay of every call, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseResponses is the number of further appends that take effect but get no
	// response.
	LoseResponses int `json:"lose-answers"`
}

// Service is a log in memory with injected faults and a token bucket that
// limits the rate of appends. It is safe for concurrent use.
type Service struct {
	log  wharflog.Memory
	rate float64

	mu     sync.Mutex
	faults Faults
	tokens float64
	// refilled is when tokens were last added.
	refilled time.Time
}

// New returns a service that keeps records for the retention time and accepts
// rate appends per second.
func New(retention time.Duration, rate float64) *Service {
	return &Service{log: wharflog.Memory{Retention: retention}, rate: rate, tokens: rate, refilled: time.Now()}
}

// Handler returns the HTTP handler of the log and of PUT /faults, which sets the
// faults.
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

// Append adds a record to a stream and returns the record's offset. It returns
// wharfstream.ErrRateLimited above the rate limit, and the error of an injected
// fault.
func (s *Service) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := s.injectFaults(); err != nil {
		return 0, err
	}
	if !s.takeToken() {
		return 0, wharfstream.ErrRateLimited
	}
	offset, err := s.log.Append(ctx, stream, data)
	if err == nil && s.losesResponse() {
		return 0, wharfstream.ErrUncertain
	}
	return offset, err
}

// Read returns records of a stream, or the error of an injected fault.
func (s *Service) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error) {
	if err := s.injectFaults(); err != nil {
		return wharfstream.Batch{}, err
	}
	return s.log.Read(ctx, stream, from, limit, wait)
}

// injectFaults delays a call by SlowMs and returns an error if the service is
// down.
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

// takeToken takes the token for one append from the bucket and reports whether
// the bucket had one.
func (s *Service) takeToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.refilled).Seconds()*s.rate, max(s.rate, 1))
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// losesResponse reports whether the response to an append is lost, and counts it
// in LoseResponses.
func (s *Service) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}
