package wharfmember

// Life is what a target says of itself in one announcement.
type Life struct {
	// Instance identifies the target. A target may start again under the same
	// instance.
	Instance string
	// Born is the time of the target's start in Unix milliseconds, zero if it
	// doesn't say.
	Born int64
	// Sequence rises with each announcement of one life.
	Sequence uint64
}

// laterThan reports whether a life began after another one of the same
// instance.
func (l Life) laterThan(other Life) bool {
	return l.Born > other.Born
}

// maxEndedLives bounds the lives of an address that are remembered.
const maxEndedLives = 64

// Lives decides which announcements for one address are of the target that has
// it now. Announcements may be late, and those of an earlier target may come
// after the next one has the address. It isn't safe for concurrent use. The zero
// Lives has seen none.
type Lives struct {
	current Life
	known   bool
	ended   []Life
}

// Current returns the life that has the address, if one does.
func (l *Lives) Current() (Life, bool) {
	return l.current, l.known
}

// Renew takes an announcement and reports whether it is news of the target that
// has the address now.
func (l *Lives) Renew(a Life) bool {
	if l.hasEnded(a) {
		return false
	}
	switch {
	case !l.known:
	case a.Instance == l.current.Instance && a.Born == l.current.Born:
		if a.Sequence <= l.current.Sequence {
			return false
		}
	case a.Born != 0 && l.current.Born != 0 && !a.laterThan(l.current):
		return false
	default:
		l.end(l.current)
	}
	l.current, l.known = a, true
	return true
}

// End takes the word of a target that it goes. It is false if that target
// doesn't have the address.
func (l *Lives) End(a Life) bool {
	if !l.known || a.Instance != l.current.Instance || a.Born != 0 && a.Born < l.current.Born {
		return false
	}
	l.end(l.current)
	l.known = false
	return true
}

func (l *Lives) end(life Life) {
	l.ended = append(l.ended, life)
	if extra := len(l.ended) - maxEndedLives; extra > 0 {
		l.ended = l.ended[extra:]
	}
}

// hasEnded reports whether an announcement is of a life that has ended.
func (l *Lives) hasEnded(a Life) bool {
	for _, e := range l.ended {
		if e.Instance == a.Instance && !a.laterThan(e) {
			return true
		}
	}
	return false
}
