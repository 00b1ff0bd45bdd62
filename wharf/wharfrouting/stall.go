package wharfrouting

import "time"

const (
	// minStallTimeout is the least silence that is noticed. It is above the round
	// trips between regions and a short stop of the other side.
	minStallTimeout = 250 * time.Millisecond
	// stallFactor is the length of a silence in times that an answer usually
	// takes. It is small because only a connection is tried then.
	stallFactor = 2
	// responseWeight smooths the time that an answer takes.
	responseWeight = 0.1
)

// StallDetector notices that somebody who used to answer doesn't any more. The zero
// StallDetector has heard nothing yet. It isn't safe for concurrent use.
type StallDetector struct {
	// sent counts the calls since the last answer, and since is when the first
	// of them was sent.
	sent  int
	since time.Time
	usual float64
}

// RecordSend notes that a call is sent.
func (s *StallDetector) RecordSend(now time.Time) {
	if s.sent == 0 {
		s.since = now
	}
	s.sent++
}

// RecordResponse notes an answer, whatever it says, and how long it took.
func (s *StallDetector) RecordResponse(took time.Duration) {
	s.sent = 0
	s.usual += responseWeight * (took.Seconds() - s.usual)
}

// Deadline returns when the silence has lasted too long. It is false if no call waits
// for an answer.
func (s *StallDetector) Deadline() (time.Time, bool) {
	usual := time.Duration(s.usual * float64(time.Second))
	return s.since.Add(max(minStallTimeout, stallFactor*usual)), s.sent > 0
}

// Reset begins anew, as if nothing had been sent.
func (s *StallDetector) Reset() {
	s.sent = 0
}
