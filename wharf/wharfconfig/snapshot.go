package wharfconfig

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ragwortwharf.dev/wharf/wharfselector"
)

// MaxDecisions is how many verdicts a snapshot remembers. A repeated append
// is recognised for as long, and history reaches back as far.
const MaxDecisions = 1024

// Object is a document with its version.
type Object struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change-id"`
	Document *Document `json:"document"`
	// selector is that of a rule, parsed once for all snapshots.
	selector wharfselector.Selector
}

// parsed returns the object with its selector parsed. A selector that can't be
// read matches nothing; such documents are refused before they get here.
func (o Object) parsed() Object {
	if o.Document.Selector != "" {
		o.selector, _ = wharfselector.Parse(o.Document.Selector)
	}
	return o
}

// Snapshot is the configuration at one offset of the log. It never changes;
// WithChanges returns a new one. A nil Snapshot is empty.
type Snapshot struct {
	offset   uint64
	objects  map[ObjectKey]Object
	verdicts []Decision
	known    map[string]struct{}
	compiled *compiled
}

// Offset returns the offset of the last change that was folded.
func (s *Snapshot) Offset() uint64 {
	if s == nil {
		return 0
	}
	return s.offset
}

// Object returns an object of the snapshot.
func (s *Snapshot) Object(key ObjectKey) (Object, bool) {
	if s == nil {
		return Object{}, false
	}
	o, ok := s.objects[key]
	return o, ok
}

// Objects returns all objects in the order of their keys.
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

// Decisions returns the latest decisions, oldest first.
func (s *Snapshot) Decisions() []Decision {
	if s == nil {
		return nil
	}
	return s.verdicts
}

// Decision returns the decision on a change.
func (s *Snapshot) Decision(changeID string) (Decision, bool) {
	for _, v := range s.Decisions() {
		if v.ChangeID == changeID {
			return v, true
		}
	}
	return Decision{}, false
}

// LoggedChange is a change with its place in the log.
type LoggedChange struct {
	Change Change
	Offset uint64
	Time   time.Time
}

// WithChanges folds changes in the order of the log. Changes at or below the
// offset of the snapshot are skipped, so it never goes back.
func (s *Snapshot) WithChanges(changes []LoggedChange) *Snapshot {
	next := s.clone()
	touched := false
	for _, p := range changes {
		if p.Offset <= next.offset {
			continue
		}
		next.offset = p.Offset
		if _, seen := next.known[p.Change.ID]; seen {
			continue
		}
		verdict := next.decide(p)
		next.remember(verdict)
		if verdict.Accepted {
			next.apply(p)
			touched = true
		}
	}
	if touched || next.compiled == nil {
		next.compiled = compile(next.objects)
	}
	return next
}

func (s *Snapshot) clone() *Snapshot {
	if s == nil {
		return &Snapshot{objects: map[ObjectKey]Object{}, known: map[string]struct{}{}}
	}
	return &Snapshot{
		offset:   s.offset,
		objects:  maps.Clone(s.objects),
		verdicts: slices.Clone(s.verdicts),
		known:    maps.Clone(s.known),
		compiled: s.compiled,
	}
}

// decide compares each edit with the version in force.
func (s *Snapshot) decide(p LoggedChange) Decision {
	v := Decision{
		ChangeID: p.Change.ID,
		Author:   p.Change.Author,
		Note:     p.Change.Note,
		Offset:   p.Offset,
		Time:     p.Time,
	}
	for _, e := range p.Change.Edits {
		v.Keys = append(v.Keys, e.Key)
		current := s.objects[e.Key]
		if current.Version != e.Base {
			v.Conflicts = append(v.Conflicts, Conflict{
				Key: e.Key, Base: e.Base, Current: current.Version, Change: current.ChangeID,
			})
			continue
		}
		if message := editIssue(e); message != "" {
			v.Conflicts = append(v.Conflicts, Conflict{Key: e.Key, Base: e.Base, Current: current.Version, Message: message})
		}
	}
	v.Accepted = len(v.Conflicts) == 0
	return v
}

// editIssue refuses a document that wharfctl would not have published. Only
// faults of the document itself count: references may change in between.
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
	for _, f := range v.faults {
		if f.Code != CodeReference {
			return f.Message
		}
	}
	return ""
}

func (s *Snapshot) apply(p LoggedChange) {
	for _, e := range p.Change.Edits {
		if e.Deletes() {
			delete(s.objects, e.Key)
			continue
		}
		s.objects[e.Key] = Object{Version: p.Offset, ChangeID: p.Change.ID, Document: e.Document}.parsed()
	}
}

func (s *Snapshot) remember(v Decision) {
	s.verdicts = append(s.verdicts, v)
	s.known[v.ChangeID] = struct{}{}
	for len(s.verdicts) > MaxDecisions {
		delete(s.known, s.verdicts[0].ChangeID)
		s.verdicts = s.verdicts[1:]
	}
}

// Saved is the form of a snapshot that is stored and sent.
type Saved struct {
	Offset    uint64     `json:"offset"`
	Objects   []Object   `json:"objects"`
	Decisions []Decision `json:"verdicts"`
}

// Save returns the stored form.
func (s *Snapshot) Save() Saved {
	return Saved{Offset: s.Offset(), Objects: s.Objects(), Decisions: s.Decisions()}
}

// Load rebuilds a snapshot from its stored form.
func Load(saved Saved) *Snapshot {
	s := (*Snapshot)(nil).clone()
	s.offset = saved.Offset
	for _, o := range saved.Objects {
		s.objects[o.Document.Key()] = o.parsed()
	}
	for _, v := range saved.Decisions {
		s.remember(v)
	}
	s.compiled = compile(s.objects)
	return s
}
