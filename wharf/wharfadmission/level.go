package wharfadmission

import "math"

const (
	// bucketsPerRank is the number of buckets into which a level divides the user
	// requests of a rank.
	bucketsPerRank = 128
	// LevelOpen is the admission level that admits every request.
	LevelOpen = Priority(rankCount*bucketsPerRank - 1)
	// firstRaiseStep is the number of buckets by which a level rises in the first
	// window after an overload. The step doubles with each window without
	// overload.
	firstRaiseStep = 8
	// maxRaiseRatio bounds the ratio by which a level rises in one window when
	// fewer requests are admitted than the target can finish.
	maxRaiseRatio = 4.0
)

// Priority combines the rank of a request with a hash of the user request that it
// belongs to. A lower number is more important.
type Priority uint16

// PriorityOf returns the priority of a request. requestHash is a hash of the ID of
// the user request.
func PriorityOf(rank int, requestHash uint64) Priority {
	rank = clampRank(rank)
	return Priority(rank*bucketsPerRank) + Priority(requestHash%bucketsPerRank)
}

// Rank returns the rank of the class that a priority belongs to.
func (p Priority) Rank() int {
	return int(p) / bucketsPerRank
}

// position returns the position of the priority within its rank, from zero to one.
func (p Priority) position() float64 {
	return float64(int(p)%bucketsPerRank) / bucketsPerRank
}

// admittedBy reports whether the priority belongs to an admitted share of its rank.
func (p Priority) admittedBy(share float64) bool {
	return float64(int(p)%bucketsPerRank) < share*bucketsPerRank
}

// ShareOf returns the share of the requests of a rank that an admission level admits.
func (p Priority) ShareOf(rank int) float64 {
	admitted := int(p) + 1 - clampRank(rank)*bucketsPerRank
	return min(max(float64(admitted)/bucketsPerRank, 0), 1)
}

// Level is an admission level: requests with a larger priority number are refused.
// In an overload it falls at once to what the target can finish; afterwards it
// rises gradually. The zero Level admits every request.
type Level struct {
	// reduction is the distance of the threshold from LevelOpen, so that the zero
	// value admits everything.
	reduction Priority
	// step is the smallest increase in the last raise, in buckets. It is zero after
	// an overload.
	step Priority
	// arrivals counts the requests of the current window by priority.
	arrivals [LevelOpen + 1]uint16
}

// Threshold returns the largest priority number that is admitted.
func (l *Level) Threshold() Priority {
	return LevelOpen - l.reduction
}

// Admit counts an arrival and reports whether the level admits it.
func (l *Level) Admit(p Priority) bool {
	if l.arrivals[p] < ^uint16(0) {
		l.arrivals[p]++
	}
	return p <= l.Threshold()
}

// Update ends a window and adjusts the threshold. capacity is the number of
// requests that the target can finish in a window. In an overload the new
// threshold admits at most capacity of the window's arrivals, but always those with
// priority zero.
func (l *Level) Update(overloaded bool, capacity float64) {
	if overloaded {
		l.lower(int(math.Ceil(capacity)))
	} else {
		l.raise(capacity)
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
	l.reduction = LevelOpen - next
}

// raise increases the threshold by a step, or by more in proportion to the capacity
// that the admitted arrivals left unused.
func (l *Level) raise(capacity float64) {
	if l.reduction == 0 {
		return
	}
	l.step = max(2*l.step, firstRaiseStep)
	step := l.step
	if admitted := l.admitted(); admitted > 0 && capacity > admitted {
		ratio := min(capacity/admitted, maxRaiseRatio)
		step = max(step, Priority(float64(l.Threshold())*(ratio-1)))
	}
	l.reduction -= min(step, l.reduction)
}

// admitted counts the arrivals of the window up to the threshold.
func (l *Level) admitted() float64 {
	n := 0
	for p := Priority(0); p <= l.Threshold(); p++ {
		n += int(l.arrivals[p])
	}
	return float64(n)
}
