package wharfmember

// TargetAnnouncement identifies one announcement of a target: the incarnation that
// sent it and its place in the sequence of announcements of this incarnation.
type TargetAnnouncement struct {
	// Instance identifies the target. A target may restart with the same
	// instance.
	Instance string
	// StartedMs is the start time of the target in Unix milliseconds, or zero if
	// the target didn't announce it.
	StartedMs int64
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64
}

// startedAfter reports whether the incarnation started after another one of the
// same instance.
func (i TargetAnnouncement) startedAfter(other TargetAnnouncement) bool {
	return i.StartedMs > other.StartedMs
}

// maxEndedIncarnations is the number of ended incarnations that are kept for an
// address.
const maxEndedIncarnations = 64

// IncarnationTracker decides which announcements for one address come from the
// target that uses the address now. Announcements may be delayed, and those of an
// earlier target may arrive after the next target has started to use the address.
// It isn't safe for concurrent use. The zero IncarnationTracker has no target.
type IncarnationTracker struct {
	current TargetAnnouncement
	known   bool
	ended   []TargetAnnouncement
}

// Current returns the incarnation that uses the address. It returns false if
// there is none.
func (t *IncarnationTracker) Current() (TargetAnnouncement, bool) {
	return t.current, t.known
}

// Observe records an announcement. It reports whether the announcement is a new
// one from the target that uses the address now.
func (t *IncarnationTracker) Observe(a TargetAnnouncement) bool {
	if t.HasEnded(a) {
		return false
	}
	switch {
	case !t.known:
	case a.Instance == t.current.Instance && a.StartedMs == t.current.StartedMs:
		if a.Sequence <= t.current.Sequence {
			return false
		}
	case a.StartedMs != 0 && t.current.StartedMs != 0 && !a.startedAfter(t.current):
		return false
	default:
		t.end(t.current)
	}
	t.current, t.known = a, true
	return true
}

// End records that a target announced its end, so that its later announcements have no
// effect. It returns false if that target doesn't use the address.
func (t *IncarnationTracker) End(a TargetAnnouncement) bool {
	if !t.known || a.Instance != t.current.Instance || a.StartedMs != 0 && a.StartedMs < t.current.StartedMs {
		if !t.HasEnded(a) {
			t.end(a)
		}
		return false
	}
	ended := t.current
	ended.StartedMs = max(ended.StartedMs, a.StartedMs)
	t.end(ended)
	t.known = false
	return true
}

// Ended returns the last incarnations that have ended, the latest last. Those whose start
// isn't known are left out: a later incarnation of the instance couldn't be told from them.
func (t *IncarnationTracker) Ended(limit int) []TargetAnnouncement {
	var out []TargetAnnouncement
	for _, e := range t.ended {
		if e.StartedMs != 0 {
			out = append(out, e)
		}
	}
	return out[max(len(out)-limit, 0):]
}

func (t *IncarnationTracker) end(incarnation TargetAnnouncement) {
	t.ended = append(t.ended, incarnation)
	if extra := len(t.ended) - maxEndedIncarnations; extra > 0 {
		t.ended = t.ended[extra:]
	}
}

// HasEnded reports whether an announcement comes from an incarnation that has
// ended.
func (t *IncarnationTracker) HasEnded(a TargetAnnouncement) bool {
	for _, e := range t.ended {
		if e.Instance == a.Instance && !a.startedAfter(e) {
			return true
		}
	}
	return false
}
