package wharfconfig

import "time"

// Edit creates, replaces or deletes one object. Base is the version that the
// author edited: the offset of the change that last set the object, zero for a
// new object. A nil Document deletes the object.
type Edit struct {
	Key      ObjectKey `json:"key"`
	Base     uint64    `json:"base"`
	Document *Document `json:"document,omitempty"`
}

// Deletes reports whether the edit deletes its object.
func (e Edit) Deletes() bool {
	return e.Document == nil
}

// Change is a set of edits that are accepted or rejected together. A repeated
// append of the same change has the same ID.
type Change struct {
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Made   time.Time `json:"made"`
	Edits  []Edit    `json:"edits"`
}

// Conflict describes why an edit was rejected.
type Conflict struct {
	Key ObjectKey `json:"key"`
	// Base is the version that the author edited.
	Base uint64 `json:"base"`
	// Current is the version that was in force.
	Current uint64 `json:"current"`
	// Change is the ID of the change that set the current version.
	Change string `json:"change"`
	// Message is the issue of the document. It is empty if the base is outdated.
	Message string `json:"message,omitempty"`
}

// Decision records whether a change was accepted. Every node makes the same
// decision, because it depends only on the log.
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
