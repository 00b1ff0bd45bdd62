package wharfconfig

import "time"

// Edit puts or deletes one object. Base is the version that the author saw:
// the offset of the change that last touched the object, zero for a new one.
type Edit struct {
	Key      ObjectKey `json:"key"`
	Base     uint64    `json:"base"`
	Document *Document `json:"document,omitempty"`
}

// Deletes reports whether the edit removes its object.
func (e Edit) Deletes() bool {
	return e.Document == nil
}

// Change is a set of edits that are accepted or rejected together. Its id
// stays the same when an append is repeated.
type Change struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Made   time.Time `json:"made"`
	Edits  []Edit    `json:"edits"`
}

// Conflict tells why an edit was rejected.
type Conflict struct {
	Key ObjectKey `json:"key"`
	// Base is the version that the edit was made against.
	Base uint64 `json:"base"`
	// Current is the version that was in force.
	Current uint64 `json:"current"`
	// Change is the id of the change that made the current version.
	Change string `json:"change"`
	// Message says what is wrong with the document, if not its base.
	Message string `json:"message,omitempty"`
}

// Decision is the decision on one change. It is the same on every node.
type Decision struct {
	ChangeID  string      `json:"change-id"`
	Author    string      `json:"author"`
	Note      string      `json:"note,omitempty"`
	Offset    uint64      `json:"offset"`
	Time      time.Time   `json:"time"`
	Accepted  bool        `json:"accepted"`
	Keys      []ObjectKey `json:"keys"`
	Conflicts []Conflict  `json:"conflicts,omitempty"`
}
