package wharfrouting

import "time"

const (
	// silentTime is the least silence that is noticed. It is above the round
	// trips between regions and a short stop of the other side.
	silentTime = 250 * time.Millisecond
	// silentFactor is the length of a silence in times that an answer usually
	// takes. It is small because only a connection is tried then.
	silentFactor = 2
	// answerWeight smooths the time that an answer takes.
	answerWeight = 0.1
)

// Silence notices that somebody who used to answer doesn't any more. The zero
// Silence has heard nothing yet. It isn't safe for concurrent use.
type Silence struct {
	// sent counts the calls since the last answer, and since is when the first
	// of them was sent.
	sent  int
	since time.Time
	usual float64
}

// Sent notes that a call is sent.
func (s *Silence) Sent(now time.Time) {
	if s.sent == 0 {
		s.since = now
	}
	s.sent++
}

// Heard notes an answer, whatever it says, and how long it took.
func (s *Silence) Heard(took time.Duration) {
	s.sent = 0
	s.usual += answerWeight * (took.Seconds() - s.usual)
}

// Due returns when the silence has lasted too long. It is false if no call waits
// for an answer.
func (s *Silence) Due() (time.Time, bool) {
	usual := time.Duration(s.usual * float64(time.Second))
	return s.since.Add(max(silentTime, silentFactor*usual)), s.sent > 0
}

// Forget begins anew, as if nothing had been sent.
func (s *Silence) Forget() {
	s.sent = 0
}
