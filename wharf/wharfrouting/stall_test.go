package wharfrouting

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStallCountsFromFirstUnansweredCall guards against a deadline that moves with
// each new call, so that a stalled peer is never detected under steady load.
func TestStallCountsFromFirstUnansweredCall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s StallDetector
	_, waits := s.Deadline()
	is.True(!waits)
	s.RecordSend(now)
	s.RecordSend(now.Add(time.Second))
	due, waits := s.Deadline()
	is.True(waits)
	is.Equal(due, now.Add(minStallTimeout))
	s.RecordResponse(time.Millisecond)
	_, waits = s.Deadline()
	is.True(!waits)
}

// TestStallTimeoutGrowsWithLatency guards against a slow peer that is taken for a
// stalled one.
func TestStallTimeoutGrowsWithLatency(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s StallDetector
	for range 1000 {
		s.RecordSend(now)
		s.RecordResponse(time.Second)
	}
	s.RecordSend(now)
	due, _ := s.Deadline()
	is.Equal(due.Sub(now).Round(time.Millisecond), stallFactor*time.Second)
	s.Reset()
	_, waits := s.Deadline()
	is.True(!waits)
}
