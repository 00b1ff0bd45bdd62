package wharfquarantine

import (
	"slices"
	"strconv"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes after which a request is
	// quarantined.
	crashesToQuarantine = 2
	// maxCrashes bounds the number of crashes that are kept per request.
	maxCrashes = 16
)

// Fingerprint identifies a request and all its resends.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as in logs and the audit trail.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// CrashID identifies one crash of one target.
type CrashID struct {
	// Target is the address of the target that crashed.
	Target string
	// Incarnation is the incarnation of the node that detected the crash. Number
	// counts the crashes of all its targets that the node has detected, from 1.
	Incarnation uint64
	Number      int
}

// Crash is a crash during which a request was in flight.
type Crash struct {
	CrashID
	// Cleared is true if the request has completed without a crash since. The
	// cleared crash is kept, so that merging the entry of a node that does not
	// know about the success can't make the request suspected or quarantined again.
	Cleared bool
}

// Entry holds the crashes during which requests with a fingerprint were in flight.
type Entry struct {
	Fingerprint Fingerprint
	Crashes     []Crash
	Quarantined bool
	Expires     time.Time
}

// Suspected reports whether the fingerprint has a crash that is not cleared.
func (e Entry) Suspected() bool {
	return len(e.Targets()) > 0
}

// Targets lists the addresses of the targets of all crashes that are not cleared.
// A target that crashed twice is listed twice.
func (e Entry) Targets() []string {
	var out []string
	for _, c := range e.Crashes {
		if !c.Cleared {
			out = append(out, c.Target)
		}
	}
	return out
}

// crashIndex returns the index of a crash, or -1.
func (e Entry) crashIndex(id CrashID) int {
	return slices.IndexFunc(e.Crashes, func(c Crash) bool { return c.CrashID == id })
}

// withCrash returns the entry with a crash added, and whether the entry changed.
// A cleared crash stays cleared.
func (e Entry) withCrash(c Crash) (Entry, bool) {
	i := e.crashIndex(c.CrashID)
	if i >= 0 && (e.Crashes[i].Cleared || !c.Cleared) {
		return e, false
	}
	e.Crashes = slices.Clone(e.Crashes)
	if i >= 0 {
		e.Crashes[i].Cleared = true
		e.Quarantined = e.hasEnoughCrashes()
		return e, true
	}
	e.Crashes = append(dropCleared(e.Crashes), c)
	e.Quarantined = e.Quarantined || e.hasEnoughCrashes()
	return e, true
}

// hasEnoughCrashes reports whether the crashes that are not cleared suffice for a quarantine.
func (e Entry) hasEnoughCrashes() bool {
	return len(e.Targets()) >= crashesToQuarantine
}

// dropCleared makes room for another crash if the list is full. It drops the oldest
// cleared crash, or the oldest of all if none is cleared.
func dropCleared(crashes []Crash) []Crash {
	if len(crashes) < maxCrashes {
		return crashes
	}
	i := slices.IndexFunc(crashes, func(c Crash) bool { return c.Cleared })
	return slices.Delete(crashes, max(i, 0), max(i, 0)+1)
}
