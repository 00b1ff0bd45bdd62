package wharfconfig

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfselector"
)

// MaxDecisions is the number of decisions that a snapshot keeps. A repeated
// append of a change is detected, and the history shows the change, only while
// the snapshot keeps its decision.
const MaxDecisions = 1024

// Object is a document with its version, which is the offset of the change that
// set it.
type Object struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change-id"`
	Document *Document `json:"document"`
	// selector is the parsed selector of a rule. It is parsed once and shared by
	// all snapshots.
	selector wharfselector.Selector
}

// parsed returns the object with its selector parsed. A selector that can't be
// parsed matches nothing; editIssue rejects such documents before this point.
func (o Object) parsed() Object {
	if o.Document.Selector != "" {
		o.selector, _ = wharfselector.Parse(o.Document.Selector)
	}
	return o
}

// Snapshot is the configuration at one offset of the log. It is immutable and
// safe for concurrent use; WithChanges returns a new snapshot. A nil Snapshot is
// empty.
type Snapshot struct {
	offset    uint64
	objects   map[ObjectKey]Object
	decisions []Decision
	// changeIDs holds the change IDs of decisions.
	changeIDs map[string]struct{}
	compiled  *compiled
}

// Offset returns the offset of the last change that was applied, accepted or
// not.
func (s *Snapshot) Offset() uint64 {
	if s == nil {
		return 0
	}
	return s.offset
}

// Object returns an object, and false if it doesn't exist.
func (s *Snapshot) Object(key ObjectKey) (Object, bool) {
	if s == nil {
		return Object{}, false
	}
	o, ok := s.objects[key]
	return o, ok
}

// Objects returns all objects, ordered by key.
func (s *Snapshot) Objects() []Object {
	if s == nil {
		return nil
	}
	objects := slices.Collect(maps.Values(s.objects))
	slices.SortFunc(objects, func(a, b Object) int {
		return cmp.Compare(a.Document.Key().String(), b.Document.Key().String())
	})
	return objects
}

// Decisions returns the latest decisions, oldest first, at most MaxDecisions.
// Callers must not modify the slice.
func (s *Snapshot) Decisions() []Decision {
	if s == nil {
		return nil
	}
	return s.decisions
}

// Decision returns the decision on a change, and false if the snapshot doesn't
// have it.
func (s *Snapshot) Decision(changeID string) (Decision, bool) {
	for _, d := range s.Decisions() {
		if d.ChangeID == changeID {
			return d, true
		}
	}
	return Decision{}, false
}

// LoggedChange is a change with its log offset and the time at which the log
// service appended it.
type LoggedChange struct {
	Change Change
	Offset uint64
	Time   time.Time
}

// WithChanges applies changes, which must be in log order, and returns the new
// snapshot. It skips changes at or below the offset of the snapshot, so that the
// offset never decreases. A repeated append of a change whose decision is still
// kept only moves the offset.
func (s *Snapshot) WithChanges(changes []LoggedChange) *Snapshot {
	next := s.clone()
	modified := false
	for _, logged := range changes {
		if logged.Offset <= next.offset {
			continue
		}
		next.offset = logged.Offset
		if _, repeated := next.changeIDs[logged.Change.ID]; repeated {
			continue
		}
		decision := next.decide(logged)
		next.record(decision)
		if decision.Accepted {
			next.apply(logged)
			modified = true
		}
	}
	if modified || next.compiled == nil {
		next.compiled = compile(next.objects)
	}
	return next
}

func (s *Snapshot) clone() *Snapshot {
	if s == nil {
		return &Snapshot{objects: map[ObjectKey]Object{}, changeIDs: map[string]struct{}{}}
	}
	return &Snapshot{
		offset:    s.offset,
		objects:   maps.Clone(s.objects),
		decisions: slices.Clone(s.decisions),
		changeIDs: maps.Clone(s.changeIDs),
		compiled:  s.compiled,
	}
}

// decide accepts a change if every edit is based on the version in force and
// every document is valid (optimistic concurrency control).
func (s *Snapshot) decide(logged LoggedChange) Decision {
	d := Decision{
		ChangeID: logged.Change.ID,
		Author:   logged.Change.Author,
		Note:     logged.Change.Note,
		Offset:   logged.Offset,
		Time:     logged.Time,
	}
	for _, e := range logged.Change.Edits {
		d.Keys = append(d.Keys, e.Key)
		current := s.objects[e.Key]
		if current.Version != e.Base {
			d.Conflicts = append(d.Conflicts, Conflict{
				Key: e.Key, Base: e.Base, Current: current.Version, Change: current.ChangeID,
			})
			continue
		}
		if message := editIssue(e); message != "" {
			d.Conflicts = append(d.Conflicts, Conflict{Key: e.Key, Base: e.Base, Current: current.Version, Message: message})
		}
	}
	d.Accepted = len(d.Conflicts) == 0
	return d
}

// editIssue returns the first issue of the edited document, or "" if there is none.
// wharfctl checks documents before it publishes them; this check catches changes
// that another program wrote. Only issues of the document itself count: the
// documents that it refers to may have changed since wharfctl checked it.
func editIssue(e Edit) string {
	if e.Deletes() {
		return ""
	}
	if e.Document.Key() != e.Key {
		return "document and key differ"
	}
	if _, ok := fieldsOf(e.Key.Kind); !ok {
		return "kind is unknown"
	}
	v := validator{}
	v.checkDocument(&SourceDocument{Document: *e.Document})
	for _, i := range v.issues {
		if i.Code != CodeReference {
			return i.Message
		}
	}
	return ""
}

func (s *Snapshot) apply(logged LoggedChange) {
	for _, e := range logged.Change.Edits {
		if e.Deletes() {
			delete(s.objects, e.Key)
			continue
		}
		s.objects[e.Key] = Object{Version: logged.Offset, ChangeID: logged.Change.ID, Document: e.Document}.parsed()
	}
}

// record adds a decision and drops the oldest ones beyond MaxDecisions.
func (s *Snapshot) record(d Decision) {
	s.decisions = append(s.decisions, d)
	s.changeIDs[d.ChangeID] = struct{}{}
	for len(s.decisions) > MaxDecisions {
		delete(s.changeIDs, s.decisions[0].ChangeID)
		s.decisions = s.decisions[1:]
	}
}

// Saved is the serialized form of a snapshot, for storage and transfer.
type Saved struct {
	Offset    uint64     `json:"offset"`
	Objects   []Object   `json:"objects"`
	Decisions []Decision `json:"verdicts"` // stored under its earlier name
}

// Save returns the serialized form.
func (s *Snapshot) Save() Saved {
	return Saved{Offset: s.Offset(), Objects: s.Objects(), Decisions: s.Decisions()}
}

// Restore rebuilds a snapshot from its serialized form.
func Restore(saved Saved) *Snapshot {
	s := (*Snapshot)(nil).clone()
	s.offset = saved.Offset
	for _, o := range saved.Objects {
		s.objects[o.Document.Key()] = o.parsed()
	}
	for _, d := range saved.Decisions {
		s.record(d)
	}
	s.compiled = compile(s.objects)
	return s
}
