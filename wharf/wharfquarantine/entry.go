package wharfquarantine

import (
	"slices"
	"time"
)

const (
	// crashesToQuarantine is how many crashes a request may cause.
	crashesToQuarantine = 2
	// maxCrashes bounds the crashes that are kept for one request.
	maxCrashes = 16
)

// Fingerprint identifies a request over its resends.
type Fingerprint uint64

// CrashID names one crash of one target.
type CrashID struct {
	// Target is the address of the target that crashed.
	Target string
	// Incarnation is that of the node which saw it, and Number counts the
	// crashes that it has seen.
	Incarnation uint64
	Number      int
}

// Crash is a crash that a request was in flight in.
type Crash struct {
	CrashID
	// Cleared says that the request has run without harm since. It is kept so
	// that word from a node which doesn't know it can't bring the blame back.
	Cleared bool
}

// Entry is what is known against a fingerprint.
type Entry struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	Quarantined bool
	Expires     time.Time
}

// Suspected reports whether a crash is held against the fingerprint.
func (e Entry) Suspected() bool {
	return len(e.Targets()) > 0
}

// Targets lists the targets whose crashes are held against the fingerprint.
func (e Entry) Targets() []string {
	var out []string
	for _, c := range e.Crashes {
		if !c.Cleared {
			out = append(out, c.Target)
		}
	}
	return out
}

func (e Entry) find(id CrashID) int {
	return slices.IndexFunc(e.Crashes, func(c Crash) bool { return c.CrashID == id })
}

// with returns the entry with a crash, and whether that changes it. A crash
// once forgiven stays forgiven.
func (e Entry) with(c Crash) (Entry, bool) {
	i := e.find(c.CrashID)
	if i >= 0 && (e.Crashes[i].Cleared || !c.Cleared) {
		return e, false
	}
	crashes := slices.Clone(e.Crashes)
	if i >= 0 {
		crashes[i].Cleared = true
	} else {
		crashes = append(dropCleared(crashes), c)
	}
	e.Crashes = crashes
	e.Quarantined = e.Quarantined || len(e.Targets()) >= crashesToQuarantine
	return e, true
}

// dropCleared makes room for a crash by dropping the oldest forgiven one.
func dropCleared(crashes []Crash) []Crash {
	if len(crashes) < maxCrashes {
		return crashes
	}
	i := slices.IndexFunc(crashes, func(c Crash) bool { return c.Cleared })
	return slices.Delete(crashes, max(i, 0), max(i, 0)+1)
}
