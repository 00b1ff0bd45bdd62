package wharfmember

import (
	"testing"

	"github.com/matryer/is"
)

// TestAnnouncementOrder guards against an announcement that is attributed to the
// wrong target of an address. It delivers announcements in the orders that delays
// and restarts can cause.
func TestAnnouncementOrder(t *testing.T) {
	type step struct {
		announcement TargetAnnouncement
		isEnd        bool
		want         bool
	}
	tests := []struct {
		name     string
		steps    []step
		instance string
	}{
		{"renewed", []step{{TargetAnnouncement{"a", 5, 1}, false, true}, {TargetAnnouncement{"a", 5, 2}, false, true}}, "a"},
		{"delayed announcement of the same incarnation", []step{{TargetAnnouncement{"a", 5, 2}, false, true}, {TargetAnnouncement{"a", 5, 1}, false, false}}, "a"},
		{"next target", []step{{TargetAnnouncement{"a", 5, 9}, false, true}, {TargetAnnouncement{"b", 6, 1}, false, true}}, "b"},
		{"delayed announcement of an earlier target", []step{{TargetAnnouncement{"a", 5, 9}, false, true}, {TargetAnnouncement{"b", 6, 1}, false, true}, {TargetAnnouncement{"a", 5, 10}, false, false}}, "b"},
		{"delayed announcement of an unknown earlier target", []step{{TargetAnnouncement{"b", 6, 1}, false, true}, {TargetAnnouncement{"a", 5, 10}, false, false}}, "b"},
		{"restarted with the same instance", []step{{TargetAnnouncement{"a", 5, 9}, false, true}, {TargetAnnouncement{"a", 7, 1}, false, true}}, "a"},
		{"delayed announcement of the incarnation before a restart", []step{{TargetAnnouncement{"a", 7, 1}, false, true}, {TargetAnnouncement{"a", 5, 9}, false, false}}, "a"},
		{"ended", []step{{TargetAnnouncement{"a", 5, 1}, false, true}, {TargetAnnouncement{"a", 0, 0}, true, true}, {TargetAnnouncement{"a", 5, 2}, false, false}}, ""},
		{"ended and restarted", []step{{TargetAnnouncement{"a", 5, 1}, false, true}, {TargetAnnouncement{"a", 5, 0}, true, true}, {TargetAnnouncement{"a", 8, 1}, false, true}}, "a"},
		{"end of an earlier target", []step{{TargetAnnouncement{"a", 5, 1}, false, true}, {TargetAnnouncement{"b", 6, 1}, false, true}, {TargetAnnouncement{"a", 5, 0}, true, false}}, "b"},
		{"delayed end of an earlier incarnation", []step{{TargetAnnouncement{"a", 7, 1}, false, true}, {TargetAnnouncement{"a", 5, 0}, true, false}}, "a"},
		{"delayed announcement after the end of an unknown target", []step{{TargetAnnouncement{"a", 5, 0}, true, false}, {TargetAnnouncement{"a", 5, 1}, false, false}}, ""},
		{"restarted after the end of an unknown target", []step{{TargetAnnouncement{"a", 5, 0}, true, false}, {TargetAnnouncement{"a", 6, 1}, false, true}}, "a"},
		{"delayed announcement after the end of a restarted target", []step{{TargetAnnouncement{"a", 5, 9}, false, true}, {TargetAnnouncement{"a", 7, 0}, true, true}, {TargetAnnouncement{"a", 7, 1}, false, false}}, ""},
		{"without start times", []step{{TargetAnnouncement{"a", 0, 1}, false, true}, {TargetAnnouncement{"b", 0, 1}, false, true}, {TargetAnnouncement{"a", 0, 2}, false, false}}, "b"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var tracker IncarnationTracker
			for _, s := range tc.steps {
				if s.isEnd {
					is.Equal(tracker.End(s.announcement), s.want)
				} else {
					is.Equal(tracker.Observe(s.announcement), s.want)
				}
			}
			current, known := tracker.Current()
			is.Equal(known, tc.instance != "")
			if known {
				is.Equal(current.Instance, tc.instance)
			}
		})
	}
}
