package wharfmember

// TargetIncarnation is what a target says of itself in one announcement.
type TargetIncarnation struct {
	// Instance identifies the target. A target may start again under the same
	// instance.
	Instance string
	// StartedMs is the time of the target's start in Unix milliseconds, zero if it
	// doesn't say.
	StartedMs int64
	// Sequence rises with each announcement of one life.
	Sequence uint64
}

// startedAfter reports whether a life began after another one of the same
// instance.
func (l TargetIncarnation) startedAfter(other TargetIncarnation) bool {
	return l.StartedMs > other.StartedMs
}

// maxEndedIncarnations bounds the lives of an address that are remembered.
const maxEndedIncarnations = 64

// IncarnationTracker decides which announcements for one address are of the target that has
// it now. Announcements may be late, and those of an earlier target may come
// after the next one has the address. It isn't safe for concurrent use. The zero
// IncarnationTracker has seen none.
type IncarnationTracker struct {
	current TargetIncarnation
	known   bool
	ended   []TargetIncarnation
}

// Current returns the life that has the address, if one does.
func (l *IncarnationTracker) Current() (TargetIncarnation, bool) {
	return l.current, l.known
}

// Observe takes an announcement and reports whether it is news of the target that
// has the address now.
func (l *IncarnationTracker) Observe(a TargetIncarnation) bool {
	if l.hasEnded(a) {
		return false
	}
	switch {
	case !l.known:
	case a.Instance == l.current.Instance && a.StartedMs == l.current.StartedMs:
		if a.Sequence <= l.current.Sequence {
			return false
		}
	case a.StartedMs != 0 && l.current.StartedMs != 0 && !a.startedAfter(l.current):
		return false
	default:
		l.end(l.current)
	}
	l.current, l.known = a, true
	return true
}

// End takes the word of a target that it goes. It is false if that target
// doesn't have the address.
func (l *IncarnationTracker) End(a TargetIncarnation) bool {
	if !l.known || a.Instance != l.current.Instance || a.StartedMs != 0 && a.StartedMs < l.current.StartedMs {
		return false
	}
	l.end(l.current)
	l.known = false
	return true
}

func (l *IncarnationTracker) end(life TargetIncarnation) {
	l.ended = append(l.ended, life)
	if extra := len(l.ended) - maxEndedIncarnations; extra > 0 {
		l.ended = l.ended[extra:]
	}
}

// hasEnded reports whether an announcement is of a life that has ended.
func (l *IncarnationTracker) hasEnded(a TargetIncarnation) bool {
	for _, e := range l.ended {
		if e.Instance == a.Instance && !a.startedAfter(e) {
			return true
		}
	}
	return false
}
