package wharfrouting

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSilenceBeginsWithTheFirstCallUnanswered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s Silence
	_, waits := s.Due()
	is.True(!waits)
	s.Sent(now)
	s.Sent(now.Add(time.Second))
	due, waits := s.Due()
	is.True(waits)
	is.Equal(due, now.Add(silentTime))
	s.Heard(time.Millisecond)
	_, waits = s.Due()
	is.True(!waits)
}

func TestSilenceOfTheSlowIsLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s Silence
	for range 1000 {
		s.Sent(now)
		s.Heard(time.Second)
	}
	s.Sent(now)
	due, _ := s.Due()
	is.Equal(due.Sub(now).Round(time.Millisecond), silentFactor*time.Second)
	s.Forget()
	_, waits := s.Due()
	is.True(!waits)
}
