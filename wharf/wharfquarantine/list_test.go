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
		{"success of a run that was in flight at a third target", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
			l.RecordSuccess(epoch, 1)
		}, epoch, false},
		{"one crash after such a success", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
			l.RecordSuccess(epoch, 1)
			l.RecordCrash(epoch, crash("c", 1), []Fingerprint{1})
		}, epoch, false},
		{"two crashes after such a success", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
			l.RecordSuccess(epoch, 1)
			l.RecordCrash(epoch, crash("c", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("d", 1), []Fingerprint{1})
		}, epoch, true},
		{"second crash merged from another node", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.Merge(epoch, Entry{Fingerprint: 1, Crashes: []Crash{{CrashID: crash("b", 1)}}, Expires: epoch.Add(time.Minute)})
		}, epoch, true},
		{"quarantine expired", func(l *List) {
			l.RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			l.RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
		}, epoch.Add(quarantineTTL), false},
		{"expired entry merged", func(l *List) {
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

// simulateResends sends one request that crashes every target that runs it to
// random nodes. After each crash, all lists merge the changed entries before the
// next send. The result is the number of crashes.
func simulateResends(t *rapid.T, check func(l *List, now time.Time) bool) int {
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

// TestAtMostTwoCrashes guards against a request that crashes one target after the
// other while it is resent.
func TestAtMostTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := simulateResends(t, func(l *List, now time.Time) bool {
			_, refused := l.Quarantined(now, 7)
			return refused
		})
		if crashes > crashesToQuarantine {
			t.Fatalf("request caused %d crashes", crashes)
		}
	})
}

// TestMoreCrashesWithoutQuarantine checks that TestAtMostTwoCrashes can fail:
// without a quarantine, there are more crashes.
func TestMoreCrashesWithoutQuarantine(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		worst = max(worst, simulateResends(t, func(*List, time.Time) bool { return false }))
	})
	is.New(t).True(worst > crashesToQuarantine)
}

// TestSuccessClearsInFlightRequest guards against the quarantine of a request that
// was in flight during two crashes, but completed without a crash in between.
func TestSuccessClearsInFlightRequest(t *testing.T) {
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

// TestEndedQuarantineStaysEnded guards against a quarantine that comes back from the entry of a
// node that does not know about the success, and against one that other nodes never end.
func TestEndedQuarantineStaysEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		var lists [nodes]List
		for i := range lists {
			lists[i].RecordCrash(epoch, crash("a", 1), []Fingerprint{1})
			lists[i].RecordCrash(epoch, crash("b", 1), []Fingerprint{1})
		}
		lists[0].RecordSuccess(epoch, 1)
		merge := func(to, from int) {
			for _, e := range lists[from].Entries(epoch) {
				lists[to].Merge(epoch, e)
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "exchanges") {
			merge(rapid.IntRange(0, nodes-1).Draw(t, "to"), rapid.IntRange(0, nodes-1).Draw(t, "from"))
		}
		for i := range lists {
			merge(i, 0)
		}
		for i := range lists {
			merge(0, i)
			if _, refused := lists[i].Quarantined(epoch, 1); refused || lists[i].Suspected(epoch, 1) {
				t.Fatalf("node %d still refuses or suspects the request", i)
			}
		}
	})
}

// TestClearedCrashStaysCleared guards against a node that suspects a request again,
// because it merges the entry of a node that does not know about the success. The
// nodes exchange the entry of one crash in any order, some of them before they
// merge the success and some of them after it.
func TestClearedCrashStaysCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		var lists [nodes]List
		for _, e := range lists[0].RecordCrash(epoch, crash("a", 1), []Fingerprint{1}) {
			for i := range rapid.IntRange(1, nodes).Draw(t, "told") {
				lists[i].Merge(epoch, e)
			}
		}
		lists[0].RecordSuccess(epoch, 1)
		cleared := [nodes]bool{true}
		for range rapid.IntRange(1, 30).Draw(t, "exchanges") {
			from, to := rapid.IntRange(0, nodes-1).Draw(t, "from"), rapid.IntRange(0, nodes-1).Draw(t, "to")
			for _, e := range lists[from].Entries(epoch) {
				lists[to].Merge(epoch, e)
			}
			cleared[to] = cleared[to] || cleared[from]
			if cleared[to] && lists[to].Suspected(epoch, 1) {
				t.Fatalf("node %d suspects the cleared request again", to)
			}
		}
	})
}

// TestCrashesOfOneRequestAreBounded guards against an entry that grows with each
// crash of a target, because the request is cleared after each of them.
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

// TestSampleReachesEveryEntry guards against entries that are never sent, because
// a sample holds only a part of the list.
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

// TestMemoryIsBounded guards against a list that grows with the number of different
// suspected requests.
func TestMemoryIsBounded(t *testing.T) {
	var l List
	for i := range Fingerprint(3 * maxEntries) {
		l.RecordCrash(epoch, crash("a", 1), []Fingerprint{i})
	}
	is.New(t).True(len(l.Entries(epoch)) <= maxEntries)
}

// TestMergeReportsQuarantine checks that Merge reports a request once, when it becomes
// quarantined, and that Counts agrees.
func TestMergeReportsQuarantine(t *testing.T) {
	is := is.New(t)
	var l List
	entry := func(target string) Entry {
		return Entry{Fingerprint: 1, Crashes: []Crash{{CrashID: crash(target, 1)}}, Expires: epoch.Add(time.Minute)}
	}
	is.True(!l.Merge(epoch, entry("a")))
	is.Equal(l.Counts(epoch), Counts{Suspected: 1})
	is.True(l.Merge(epoch, entry("b")))
	is.Equal(l.Counts(epoch), Counts{Quarantined: 1})
	is.True(!l.Merge(epoch, entry("b")))
}
