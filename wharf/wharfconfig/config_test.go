package wharfconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
)

const sampleFile = `
kind: class
name: reads
rank: 0
reserve: 0.2
---
kind: class
name: bulk
rank: 9
---
kind: service
name: schedules
labels: {tier: core}
---
kind: request
name: board
service: schedules
methods: [GET]
path: /boards/*
labels: {work: read}
---
kind: rule
name: boards-first
selector: service=schedules,work=read
class: reads
timeout: 2s
---
kind: rule
name: uploads-last
selector: method in (PUT)
precedence: 5
class: bulk
idempotent: true
---
kind: target-rule
name: old-racks
selector: rack=7
leaving: true
---
kind: defaults
name: defaults
timeout: 3s
attempts: 32
`

func parseValid(t *testing.T, text string) []SourceDocument {
	t.Helper()
	docs, issues := Parse("sample.yaml", []byte(text))
	if len(issues) == 0 {
		issues = Validate(docs, nil)
	}
	if len(issues) > 0 {
		t.Fatal(issues)
	}
	return docs
}

func sampleSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	change := Change{ID: "first", Author: "ops"}
	for _, d := range parseValid(t, sampleFile) {
		doc := d.Document
		change.Edits = append(change.Edits, Edit{Key: doc.Key(), Document: &doc})
	}
	s := (*Snapshot)(nil).WithChanges([]LoggedChange{{Change: change, Offset: 1}})
	is.New(t).True(s.Decisions()[0].Accepted)
	return s
}

func TestClassify(t *testing.T) {
	s := sampleSnapshot(t)
	tests := []struct {
		name       string
		request    RequestAttributes
		class      string
		idempotent bool
		timeout    time.Duration
	}{
		{"request document and service rule", RequestAttributes{Service: "schedules", Method: "GET", Path: "/boards/7"}, "reads", true, 2 * time.Second},
		{"other path", RequestAttributes{Service: "schedules", Method: "GET", Path: "/boards/7/x"}, DefaultClass, true, 3 * time.Second},
		{"general rule", RequestAttributes{Service: "other", Method: "PUT", Path: "/"}, "bulk", true, 3 * time.Second},
		{"unsafe method", RequestAttributes{Service: "schedules", Method: "POST", Path: "/boards/7"}, DefaultClass, false, 3 * time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := s.Classify(tc.request)
			is.Equal(p.Class.Name, tc.class)
			is.Equal(p.Idempotent, tc.idempotent)
			is.Equal(p.Timeout, tc.timeout)
			is.Equal(p.Attempts, 32)
		})
	}
	rule, leaving := s.IsLeaving(TargetAttributes{Labels: map[string]string{"rack": "7"}})
	is.New(t).True(leaving && rule == "old-racks")
}

// TestIssuesAreReportedTogether guards against checks that stop at the first
// issue or report the wrong line.
func TestIssuesAreReportedTogether(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"unknown field", "kind: service\nname: a\nport: 3\n", []string{"f:3: kind service has no field \"port\" [unknown-field]"}},
		{"unknown kind", "kind: shape\nname: a\n", []string{"f:1: kind \"shape\" is unknown [unknown-kind]"}},
		{"type", "kind: class\nname: a\nrank: high\n", []string{"f:3: cannot unmarshal !!str `high` into int [syntax]"}},
		{"two issues", "kind: rule\nname: a\nselector: 'a b'\nclass: gone\n", []string{"[selector]", "f:4: rule/a: class \"gone\" is not configured [reference]"}},
		{"ranks", "kind: class\nname: a\nrank: 1\n---\nkind: class\nname: b\nrank: 1\n", []string{"also has rank 1 [contradiction]"}},
		{"rules", "kind: rule\nname: a\nselector: x=1\nattempts: 1\n---\nkind: rule\nname: b\nselector: x=1\nattempts: 2\n", []string{"rule a at f:1 selects the same requests"}},
		{"range", "kind: rule\nname: a\nselector: x=1\nattempts: 0\ntimeout: 0s\n", []string{"timeout 0s is out of range", "attempts 0 is out of range"}},
		{"no mapping", "- a\n", []string{"document is not a mapping"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			docs, issues := Parse("f", []byte(tc.text))
			issues = append(issues, Validate(docs, nil)...)
			for _, want := range tc.want {
				if !strings.Contains(issues.Error(), want) {
					t.Errorf("%q is missing from\n%s", want, issues.Error())
				}
			}
		})
	}
}

func edit(name string, base uint64, rank int) Edit {
	d := &Document{Kind: KindClass, Name: name, Rank: rank}
	return Edit{Key: d.Key(), Base: base, Document: d}
}

// TestApplyChanges guards against lost updates: a change that is based on an
// outdated version, or that holds an invalid document, must be rejected as a
// whole and leave the objects as they were.
func TestApplyChanges(t *testing.T) {
	first := LoggedChange{Change{ID: "a", Author: "ann", Edits: []Edit{edit("x", 0, 1)}}, 1, time.Time{}}
	tests := []struct {
		name     string
		change   LoggedChange
		accepted bool
		rank     int
	}{
		{"against the version in force", LoggedChange{Change{ID: "b", Edits: []Edit{edit("x", 1, 2)}}, 2, time.Time{}}, true, 2},
		{"against an older version", LoggedChange{Change{ID: "b", Edits: []Edit{edit("x", 0, 2)}}, 2, time.Time{}}, false, 1},
		{"one of two edits conflicts", LoggedChange{Change{ID: "b", Edits: []Edit{edit("y", 0, 3), edit("x", 0, 2)}}, 2, time.Time{}}, false, 1},
		{"document out of range", LoggedChange{Change{ID: "b", Edits: []Edit{edit("x", 1, 99)}}, 2, time.Time{}}, false, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := (*Snapshot)(nil).WithChanges([]LoggedChange{first, tc.change})
			decision, ok := s.Decision("b")
			is.True(ok)
			is.Equal(decision.Accepted, tc.accepted)
			is.Equal(s.Class("x").Rank, tc.rank)
			if !tc.accepted && decision.Conflicts[0].Message == "" {
				is.Equal(decision.Conflicts[0].Change, "a") // the conflict names the change that set the current version
			}
		})
	}
}

// TestApplyingChangesIsMonotonic applies random ranges of a log, which overlap
// and arrive out of order, as nodes get them from the log and from gossip, with
// restarts in between. The offset must never decrease, and the snapshot must
// equal one that applied the whole log up to its offset in one call.
func TestApplyingChangesIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []LoggedChange
		n := rapid.IntRange(1, 20).Draw(t, "changes")
		for i := range n {
			id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))
			base := uint64(rapid.IntRange(0, i).Draw(t, "base"))
			log = append(log, LoggedChange{Change{ID: id, Edits: []Edit{edit("x", base, i%MaxRank)}}, uint64(i + 1), time.Time{}})
		}
		var s *Snapshot
		for s.Offset() < uint64(n) {
			before := s.Offset()
			from := rapid.IntRange(0, int(before)).Draw(t, "from")
			to := rapid.IntRange(from+1, n).Draw(t, "to")
			s = s.WithChanges(log[from:to])
			if rapid.Bool().Draw(t, "restart") {
				s = Restore(s.Save())
			}
			if s.Offset() < before {
				t.Fatalf("offset decreased from %d to %d", before, s.Offset())
			}
			want := (*Snapshot)(nil).WithChanges(log[:s.Offset()])
			if s.Class("x") != want.Class("x") || len(s.Decisions()) != len(want.Decisions()) {
				t.Fatalf("at offset %d: got %v, want %v", s.Offset(), s.Class("x"), want.Class("x"))
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(sampleFile)
	f.Add("kind: class\nname: [")
	f.Fuzz(func(t *testing.T, text string) {
		docs, _ := Parse("f", []byte(text))
		_ = Validate(docs, nil).Error()
	})
}

func BenchmarkClassify(b *testing.B) {
	var t testing.T
	s := sampleSnapshot(&t)
	r := RequestAttributes{Service: "schedules", Method: "GET", Path: "/boards/7"}
	b.ReportAllocs()
	for b.Loop() {
		s.Classify(r)
	}
}
