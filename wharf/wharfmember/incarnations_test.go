package wharfmember

import (
	"testing"

	"github.com/matryer/is"
)

// TestLives brings announcements for one address in the orders that delays and
// restarts can cause.
func TestLives(t *testing.T) {
	type step struct {
		life TargetIncarnation
		ends bool
		want bool
	}
	tests := []struct {
		name  string
		steps []step
		has   string
	}{
		{"renewed", []step{{TargetIncarnation{"a", 5, 1}, false, true}, {TargetIncarnation{"a", 5, 2}, false, true}}, "a"},
		{"late by sequence", []step{{TargetIncarnation{"a", 5, 2}, false, true}, {TargetIncarnation{"a", 5, 1}, false, false}}, "a"},
		{"next target", []step{{TargetIncarnation{"a", 5, 9}, false, true}, {TargetIncarnation{"b", 6, 1}, false, true}}, "b"},
		{"earlier target comes late", []step{{TargetIncarnation{"a", 5, 9}, false, true}, {TargetIncarnation{"b", 6, 1}, false, true}, {TargetIncarnation{"a", 5, 10}, false, false}}, "b"},
		{"earlier target was never seen", []step{{TargetIncarnation{"b", 6, 1}, false, true}, {TargetIncarnation{"a", 5, 10}, false, false}}, "b"},
		{"started again under its name", []step{{TargetIncarnation{"a", 5, 9}, false, true}, {TargetIncarnation{"a", 7, 1}, false, true}}, "a"},
		{"late after its new start", []step{{TargetIncarnation{"a", 7, 1}, false, true}, {TargetIncarnation{"a", 5, 9}, false, false}}, "a"},
		{"ended", []step{{TargetIncarnation{"a", 5, 1}, false, true}, {TargetIncarnation{"a", 0, 0}, true, true}, {TargetIncarnation{"a", 5, 2}, false, false}}, ""},
		{"ended and started again", []step{{TargetIncarnation{"a", 5, 1}, false, true}, {TargetIncarnation{"a", 5, 0}, true, true}, {TargetIncarnation{"a", 8, 1}, false, true}}, "a"},
		{"end of an earlier target", []step{{TargetIncarnation{"a", 5, 1}, false, true}, {TargetIncarnation{"b", 6, 1}, false, true}, {TargetIncarnation{"a", 5, 0}, true, false}}, "b"},
		{"end of an earlier life comes late", []step{{TargetIncarnation{"a", 7, 1}, false, true}, {TargetIncarnation{"a", 5, 0}, true, false}}, "a"},
		{"without times of birth", []step{{TargetIncarnation{"a", 0, 1}, false, true}, {TargetIncarnation{"b", 0, 1}, false, true}, {TargetIncarnation{"a", 0, 2}, false, false}}, "b"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var l IncarnationTracker
			for _, s := range tc.steps {
				if s.ends {
					is.Equal(l.End(s.life), s.want)
				} else {
					is.Equal(l.Observe(s.life), s.want)
				}
			}
			current, known := l.Current()
			is.Equal(known, tc.has != "")
			if known {
				is.Equal(current.Instance, tc.has)
			}
		})
	}
}
