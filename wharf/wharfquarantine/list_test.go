package wharfquarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
)

var epoch = time.Unix(0, 0)

func crash(target string, n int) CrashID {
	return CrashID{Target: target, Number: n}
}

func TestQuarantine(t *testing.T) {
	tests := []struct {
		name   string
		events func(l *List)
		now    time.Time
		want   bool
	}{
		{"one crash", func(l *List) { l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1}) }, epoch, false},
		{"two crashes of one target", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("a", 2), []Fingerprint{1})
		}, epoch, true},
		{"one crash reported twice", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
		}, epoch, false},
		{"two targets", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
		}, epoch, true},
		{"success in between", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordSuccess(epoch, 1)
			l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
		}, epoch, false},
		{"second crash was seen elsewhere", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.Merge(epoch, Entry{Fingerprint: 1, Crashes: []Crash{{CrashID: crash("b", 1)}}, Expires: epoch.Add(time.Minute)})
		}, epoch, true},
		{"after it expired", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
		}, epoch.Add(quarantineTTL), false},
		{"old news", func(l *List) {
			l.Merge(epoch, Entry{Fingerprint: 1, Quarantined: true, Expires: epoch})
		}, epoch, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l List
			tc.events(&l)
			_, got := l.Quarantined(tc.now, 1)
			is.New(t).Equal(got, tc.want)
		})
	}
}

// crashRun resends one deadly request at random over targets, and tells all
// lists of a crash before the next send. It returns the number of crashes.
func crashRun(t *rapid.T, check func(l *List, now time.Time) bool) int {
	const nodes = 5
	var lists [nodes]List
	crashes := 0
	now := epoch
	for range rapid.IntRange(1, 30).Draw(t, "sends") {
		now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
		at := rapid.IntRange(0, nodes-1).Draw(t, "node")
		if check(&lists[at], now) {
			continue
		}
		crashes++
		entries := lists[at].RecordCrash(now, crash(fmt.Sprint(at), crashes), []Fingerprint{7})
		for i := range lists {
			for _, e := range entries {
				lists[i].Merge(now, e)
			}
		}
	}
	return crashes
}

func TestAtMostTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := crashRun(t, func(l *List, now time.Time) bool {
			_, refused := l.Quarantined(now, 7)
			return refused
		})
		if crashes > crashesToQuarantine {
			t.Fatalf("%d crashes", crashes)
		}
	})
}

// TestWithoutQuarantineManyCrash shows that the property above has teeth.
func TestWithoutQuarantineManyCrash(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		worst = max(worst, crashRun(t, func(*List, time.Time) bool { return false }))
	})
	is.New(t).True(worst > crashesToQuarantine)
}

func TestBystandersAreCleared(t *testing.T) {
	is := is.New(t)
	var l List
	l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1, 2})
	is.True(l.Suspected(epoch, 2))
	l.RecordSuccess(epoch, 2)
	is.True(!l.Suspected(epoch, 2))
	l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1, 2})
	_, refused := l.Quarantined(epoch, 2)
	is.True(!refused)
}

// TestForgivenCrashStaysForgiven lets nodes tell each other of one crash in any
// order, some before and some after they learn that the request was harmless.
func TestForgivenCrashStaysForgiven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		var lists [nodes]List
		for _, e := range lists[0].RecordCrash(epoch, crash("a", 1), []Fingerprint{1}) {
			for i := range rapid.IntRange(1, nodes).Draw(t, "told") {
				lists[i].Merge(epoch, e)
			}
		}
		lists[0].RecordSuccess(epoch, 1)
		forgiven := [nodes]bool{true}
		for range rapid.IntRange(1, 30).Draw(t, "exchanges") {
			from, to := rapid.IntRange(0, nodes-1).Draw(t, "from"), rapid.IntRange(0, nodes-1).Draw(t, "to")
			for _, e := range lists[from].Entries(epoch) {
				lists[to].Merge(epoch, e)
			}
			forgiven[to] = forgiven[to] || forgiven[from]
			if forgiven[to] && lists[to].Suspected(epoch, 1) {
				t.Fatalf("node %d suspects again", to)
			}
		}
	})
}

func TestCrashesOfOneRequestAreBounded(t *testing.T) {
	is := is.New(t)
	var l List
	for i := range 5 * maxCrashes {
		l.RecordCrash(epoch, crash("a", i), []Fingerprint{1})
		l.RecordSuccess(epoch, 1)
	}
	is.True(len(l.Entries(epoch)[0].Crashes) <= maxCrashes)
	is.True(!l.Suspected(epoch, 1))
}

// TestSampleReachesEveryEntry takes samples that hold a part of the list only.
func TestSampleReachesEveryEntry(t *testing.T) {
	is := is.New(t)
	var l List
	const entries, size = 200, 32
	for fp := range Fingerprint(entries) {
		l.RecordCrash(epoch, crash("a", 1), []Fingerprint{fp})
	}
	l.RecordCrash(epoch, crash("b", 1), []Fingerprint{7})
	rng := rand.New(rand.NewPCG(1, 2))
	seen := map[Fingerprint]bool{}
	for range 100 {
		sample := l.Sample(epoch, rng, size)
		is.Equal(len(sample), size)
		is.Equal(sample[0].Fingerprint, Fingerprint(7)) // the quarantined one
		for _, e := range sample {
			seen[e.Fingerprint] = true
		}
	}
	is.Equal(len(seen), entries)
}

func TestMemoryIsBounded(t *testing.T) {
	var l List
	for i := range Fingerprint(3 * maxEntries) {
		l.RecordCrash(epoch, crash("a", 1), []Fingerprint{i})
	}
	is.New(t).True(len(l.Entries(epoch)) <= maxEntries)
}
