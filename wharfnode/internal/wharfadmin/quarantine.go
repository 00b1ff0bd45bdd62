package wharfadmin

import (
	"net/http"
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfquarantine"
)

// Suspect is a request that was in flight when a target crashed.
type Suspect struct {
	// Fingerprint is in hexadecimal, as in the audit trail.
	Fingerprint string `json:"fingerprint"`
	// Quarantined says that the request is refused everywhere.
	Quarantined bool      `json:"quarantined"`
	Expires     time.Time `json:"expires"`
	Crashes     []Crash   `json:"crashes"`
}

// Crash is a crash that a request was in flight in.
type Crash struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	Number      int    `json:"number"`
	// Cleared says that the request has run without harm since.
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
		Fingerprint: strconv.FormatUint(uint64(e.Fingerprint), 16),
		Quarantined: e.Quarantined, Expires: e.Expires, Crashes: []Crash{},
	}
	for _, c := range e.Crashes {
		s.Crashes = append(s.Crashes, Crash{c.Target, c.Incarnation, c.Number, c.Cleared})
	}
	return s
}
