package wharfadmission

import "math"

const (
	// bucketsPerRank is how finely a level divides the user requests of a rank.
	bucketsPerRank = 128
	// LevelOpen admits everything.
	LevelOpen = Priority(rankCount*bucketsPerRank - 1)
	// firstOpenStep is by how many buckets a level opens after an overload; it
	// doubles with each calm window.
	firstOpenStep = 8
	// maxOpenRatio bounds by how much a level grows at a time when less is
	// admitted than the target could finish.
	maxOpenRatio = 4.0
)

// Priority packs class and user request into one number; lower is more
// important.
type Priority uint16

// PriorityOf returns the priority of a user request in a class.
func PriorityOf(rank int, requestHash uint64) Priority {
	rank = min(max(rank, 0), rankCount-1)
	return Priority(rank*bucketsPerRank) + Priority(requestHash%bucketsPerRank)
}

// Rank returns the rank that a priority belongs to.
func (p Priority) Rank() int {
	return int(p) / bucketsPerRank
}

// Level is an admission level: requests with a priority above it are refused.
// It comes down at once to what the target can drain and opens gradually. The
// zero Level is open.
type Level struct {
	// closed counts from LevelOpen down, so that the zero value is open.
	closed   Priority
	step     Priority
	arrivals [LevelOpen + 1]uint16
}

// Threshold returns the largest priority that is admitted.
func (l *Level) Threshold() Priority {
	return LevelOpen - l.closed
}

// Admit counts an arrival and reports whether the level lets it pass.
func (l *Level) Admit(p Priority) bool {
	if l.arrivals[p] < ^uint16(0) {
		l.arrivals[p]++
	}
	return p <= l.Threshold()
}

// Update ends a window and moves the threshold. In an overload it admits as
// many of the arrivals as the target can finish in a window.
func (l *Level) Update(overloaded bool, capacity float64) {
	if overloaded {
		l.lower(int(math.Ceil(capacity)))
	} else {
		l.open(capacity)
	}
	l.arrivals = [LevelOpen + 1]uint16{}
}

func (l *Level) lower(allowed int) {
	l.step = 0
	admitted := 0
	next := Priority(0)
	for p := Priority(0); p <= l.Threshold(); p++ {
		admitted += int(l.arrivals[p])
		if admitted > allowed {
			break
		}
		next = p
	}
	l.closed = LevelOpen - next
}

// open raises the threshold by a step, or in proportion to the capacity that
// the admitted arrivals left unused.
func (l *Level) open(capacity float64) {
	if l.closed == 0 {
		return
	}
	l.step = max(2*l.step, firstOpenStep)
	step := l.step
	if admitted := l.admitted(); admitted > 0 && capacity > admitted {
		ratio := min(capacity/admitted, maxOpenRatio)
		step = max(step, Priority(float64(l.Threshold())*(ratio-1)))
	}
	l.closed -= min(step, l.closed)
}

// admitted counts the arrivals of the window that the threshold let pass.
func (l *Level) admitted() float64 {
	n := 0
	for p := Priority(0); p <= l.Threshold(); p++ {
		n += int(l.arrivals[p])
	}
	return float64(n)
}
