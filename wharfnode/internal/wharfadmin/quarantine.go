package wharfadmin

import (
	"net/http"
	"time"

	"ragwortwharf.dev/wharf/wharfquarantine"
)

// Suspect is a request that was in flight when a target crashed.
type Suspect struct {
	// Fingerprint is in hexadecimal, as in the audit trail.
	Fingerprint string `json:"fingerprint"`
	// Quarantined is whether all nodes refuse the request.
	Quarantined bool      `json:"quarantined"`
	Expires     time.Time `json:"expires"`
	Crashes     []Crash   `json:"crashes"`
}

// Crash is a target crash during which the request was in flight.
type Crash struct {
	// Target is the address of the target.
	Target string `json:"target"`
	// Incarnation is the incarnation of the node that detected the crash. Number
	// counts the crashes of all its targets that this node has detected, from 1.
	Incarnation uint64 `json:"incarnation"`
	Number      int    `json:"number"`
	// Cleared is whether the request has since completed without a crash. Its
	// JSON name stays for existing clients.
	Cleared bool `json:"forgiven"`
}

func (a *API) quarantine(w http.ResponseWriter, _ *http.Request) {
	suspects := []Suspect{}
	for _, e := range a.Quarantine.Entries(time.Now()) {
		suspects = append(suspects, suspectOf(e))
	}
	reply(w, http.StatusOK, suspects)
}

func suspectOf(e wharfquarantine.Entry) Suspect {
	s := Suspect{
		Fingerprint: e.Fingerprint.String(),
		Quarantined: e.Quarantined, Expires: e.Expires, Crashes: []Crash{},
	}
	for _, c := range e.Crashes {
		s.Crashes = append(s.Crashes, Crash{c.Target, c.Incarnation, c.Number, c.Cleared})
	}
	return s
}
