package wharfrouting

import "time"

const (
	// minStallTimeout is the shortest time without a response that counts as a
	// stall. It is longer than a round trip between regions and than a short
	// pause of the peer's process.
	minStallTimeout = 250 * time.Millisecond
	// stallFactor is the stall timeout as a multiple of the mean latency. It is
	// small because a stall only causes a connection probe.
	stallFactor = 2
	// responseWeight is the weight of a new latency in the moving average.
	responseWeight = 0.1
)

// StallDetector detects that a peer no longer responds to calls. A peer counts as
// stalled if it sends no response for the stall timeout after the first unanswered
// call was sent. The stall timeout grows with the mean latency of the peer. The zero
// StallDetector is ready to use and has seen no call. It is not safe for
// concurrent use.
type StallDetector struct {
	// unanswered counts the calls sent since the last response, and
	// firstUnanswered is the time when the first of them was sent.
	unanswered      int
	firstUnanswered time.Time
	// meanLatency is a moving average in seconds.
	meanLatency float64
}

// RecordSend records that a call is sent.
func (s *StallDetector) RecordSend(now time.Time) {
	if s.unanswered == 0 {
		s.firstUnanswered = now
	}
	s.unanswered++
}

// RecordResponse records a response, successful or not, and its latency.
func (s *StallDetector) RecordResponse(latency time.Duration) {
	s.unanswered = 0
	s.meanLatency += responseWeight * (latency.Seconds() - s.meanLatency)
}

// Deadline returns the time at which the peer counts as stalled if it sends no
// response before. The result is false if no call waits for a response.
func (s *StallDetector) Deadline() (time.Time, bool) {
	meanLatency := time.Duration(s.meanLatency * float64(time.Second))
	return s.firstUnanswered.Add(max(minStallTimeout, stallFactor*meanLatency)), s.unanswered > 0
}

// Reset forgets the calls that wait for a response. The mean latency is kept.
func (s *StallDetector) Reset() {
	s.unanswered = 0
}
