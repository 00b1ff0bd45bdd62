package wharfrouting

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSilenceBeginsWithTheFirstCallUnanswered(t *testing.T) {
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

func TestSilenceOfTheSlowIsLonger(t *testing.T) {
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
