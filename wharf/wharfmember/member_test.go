package wharfmember

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
)

func testMember(i int) Member {
	return Member{
		Node: fmt.Sprintf("n%05d", i), Incarnation: 1, Version: 1,
		FailureDomain: fmt.Sprint("d", i%3), Region: "r",
		Targets: []Target{{Service: fmt.Sprint("s", i%5), Address: fmt.Sprint("a", i), Slots: 10}},
	}
}

// TestMergeOrderDoesNotMatter guards against tables that differ although they
// merged the same entries. It merges random entries in two orders.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []Member
		for range rapid.IntRange(1, 30).Draw(t, "entries") {
			m := testMember(rapid.IntRange(0, 4).Draw(t, "node"))
			m.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			m.Version = uint64(rapid.IntRange(1, 3).Draw(t, "version"))
			m.State = State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state"))
			entries = append(entries, m)
		}
		var a, b Table
		for _, m := range entries {
			a.Merge(m)
		}
		for _, m := range rapid.Permutation(entries).Draw(t, "order") {
			b.Merge(m)
		}
		if a.Digests().Root() != b.Digests().Root() || len(a.Differing(b.Digests(), 0, 1)) > 0 {
			t.Fatal("tables differ")
		}
		for _, m := range a.All() {
			if other, _ := b.Get(m.Node); m.newer(other) || other.newer(m) {
				t.Fatalf("%v and %v", m, other)
			}
		}
	})
}

func TestServingFollowsTargets(t *testing.T) {
	is := is.New(t)
	var table Table
	for i := range 10 {
		table.Merge(testMember(i))
	}
	is.Equal(len(table.Serving("s0")), 2)
	m, _ := table.Get("n00000")
	m = m.WithoutTarget("a0")
	m.Version++
	is.True(table.Merge(m))
	is.Equal(len(table.Serving("s0")), 1)
	is.Equal(len(table.Services()), 5)
	table.Remove("n00005")
	is.Equal(len(table.Serving("s0")), 0)
}

// TestDifferingCoversAllEntries guards against entries that are never sent, although
// exchanges that send a limited number of entries are repeated.
func TestDifferingCoversAllEntries(t *testing.T) {
	is := is.New(t)
	var full, empty Table
	for i := range 500 {
		full.Merge(testMember(i))
	}
	for round := 0; empty.Len() < full.Len(); round++ {
		is.True(round < 200)
		for _, m := range full.Differing(empty.Digests(), round, 20) {
			empty.Merge(m)
		}
	}
	is.Equal(full.Digests().Root(), empty.Digests().Root())
}

// TestEachNodeHasRingNeighboursAsMonitors checks that each node is monitored by
// ringNeighbours nodes of its own failure domain. It also checks that RandomRemote
// returns a node of another failure domain.
func TestEachNodeHasRingNeighboursAsMonitors(t *testing.T) {
	is := is.New(t)
	var table Table
	for i := range 30 {
		table.Merge(testMember(i))
	}
	monitors := map[string]int{}
	for _, m := range table.All() {
		for _, monitored := range table.Monitored(m.Node) {
			is.Equal(monitored.FailureDomain, m.FailureDomain)
			monitors[monitored.Node]++
		}
	}
	for _, m := range table.All() {
		is.Equal(monitors[m.Node], ringNeighbours)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	remote, ok := table.RandomRemote("n00000", rng)
	is.True(ok && remote.FailureDomain != "d0")
}

// TestDetectorNeedsSeveralReporters guards against a node that is declared down
// because a single other node can't reach it.
func TestDetectorNeedsSeveralReporters(t *testing.T) {
	now := time.Unix(0, 0)
	fromA := FailureReport{Subject: "x", Incarnation: 1, Reporter: "a"}
	fromB := FailureReport{Subject: "x", Incarnation: 1, Reporter: "b"}
	tests := []struct {
		name     string
		first    FailureReport
		second   FailureReport
		after    time.Duration
		monitors int
		want     bool
	}{
		{"two reporters", fromA, fromB, time.Second, 3, true},
		{"one reporter twice", fromA, fromA, time.Second, 3, false},
		{"first report expired", fromA, fromB, reportTTL, 3, false},
		{"reports of different incarnations", fromA, FailureReport{"x", 2, "b"}, time.Second, 3, false},
		{"only one monitor", fromA, fromA, time.Second, 1, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var detector FailureDetector
			detector.AddReport(now, tc.first, tc.monitors)
			is.Equal(detector.AddReport(now.Add(tc.after), tc.second, tc.monitors), tc.want)
		})
	}
}

// TestDetectorCountsConsecutiveFailures guards against a report of a node whose
// exchanges fail now and then.
func TestDetectorCountsConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	var detector FailureDetector
	is.True(!detector.RecordExchange("x", false))
	is.True(!detector.RecordExchange("x", false))
	detector.RecordExchange("x", true)
	is.True(!detector.RecordExchange("x", false))
	is.True(!detector.RecordExchange("x", false))
	is.True(detector.RecordExchange("x", false))
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table
			for i := range n {
				table.Merge(testMember(i))
			}
			m := testMember(7)
			b.ReportAllocs()
			for b.Loop() {
				m.Version++
				table.Merge(m)
			}
		})
	}
}

// BenchmarkMemory reports the memory of a table in MB.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			var table Table
			for i := range n {
				table.Merge(testMember(i))
			}
			after := heapBytes()
			for b.Loop() {
				runtime.KeepAlive(&table)
			}
			b.ReportMetric(float64(after-before)/1e6, "MB")
		})
	}
}

// heapBytes returns the heap in use after a garbage collection, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDiffering finds the one entry that a gossip peer lacks.
func BenchmarkDiffering(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table, peer Table
			for i := range n {
				table.Merge(testMember(i))
				if i > 0 {
					peer.Merge(testMember(i))
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Differing(peer.Digests(), 0, 512)
			}
		})
	}
}
