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

func someMember(i int) Member {
	return Member{
		Node: fmt.Sprintf("n%05d", i), Incarnation: 1, Version: 1,
		FailureDomain: fmt.Sprint("d", i%3), Region: "r",
		Targets: []Target{{Service: fmt.Sprint("s", i%5), Address: fmt.Sprint("a", i), Slots: 10}},
	}
}

// TestTablesAgree merges the same entries in two orders and compares.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []Member
		for range rapid.IntRange(1, 30).Draw(t, "entries") {
			m := someMember(rapid.IntRange(0, 4).Draw(t, "node"))
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
		table.Merge(someMember(i))
	}
	is.Equal(len(table.Serving("s0")), 2)
	m, _ := table.Get("n00000")
	m = m.WithoutTarget("a0")
	m.Version++
	is.True(table.Merge(m))
	is.Equal(len(table.Serving("s0")), 1)
	is.Equal(len(table.Services()), 5)
	table.Forget("n00005")
	is.Equal(len(table.Serving("s0")), 0)
}

func TestDifferingSendsAllInTheEnd(t *testing.T) {
	is := is.New(t)
	var full, empty Table
	for i := range 500 {
		full.Merge(someMember(i))
	}
	for round := 0; empty.Len() < full.Len(); round++ {
		is.True(round < 200)
		for _, m := range full.Differing(empty.Digests(), round, 20) {
			empty.Merge(m)
		}
	}
	is.Equal(full.Digests().Root(), empty.Digests().Root())
}

func TestEachNodeIsWatchedBySeveral(t *testing.T) {
	is := is.New(t)
	var table Table
	for i := range 30 {
		table.Merge(someMember(i))
	}
	watchers := map[string]int{}
	for _, m := range table.All() {
		for _, w := range table.Monitored(m.Node) {
			is.Equal(w.FailureDomain, m.FailureDomain)
			watchers[w.Node]++
		}
	}
	for _, m := range table.All() {
		is.Equal(watchers[m.Node], ringNeighbours)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	far, ok := table.RandomRemote("n00000", rng)
	is.True(ok && far.FailureDomain != "d0")
}

func TestDetectorNeedsSeveralReporters(t *testing.T) {
	now := time.Unix(0, 0)
	one := FailureReport{Subject: "x", Incarnation: 1, Reporter: "a"}
	two := FailureReport{Subject: "x", Incarnation: 1, Reporter: "b"}
	tests := []struct {
		name     string
		first    FailureReport
		second   FailureReport
		after    time.Duration
		watchers int
		want     bool
	}{
		{"two reporters", one, two, time.Second, 3, true},
		{"one reporter twice", one, one, time.Second, 3, false},
		{"too long apart", one, two, reportTTL, 3, false},
		{"of another incarnation", one, FailureReport{"x", 2, "b"}, time.Second, 3, false},
		{"the only watcher", one, one, time.Second, 1, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var d FailureDetector
			d.AddReport(now, tc.first, tc.watchers)
			is.Equal(d.AddReport(now.Add(tc.after), tc.second, tc.watchers), tc.want)
		})
	}
}

func TestDetectorCountsFailuresInARow(t *testing.T) {
	is := is.New(t)
	var d FailureDetector
	is.True(!d.RecordExchange("x", false))
	is.True(!d.RecordExchange("x", false))
	d.RecordExchange("x", true)
	is.True(!d.RecordExchange("x", false))
	is.True(!d.RecordExchange("x", false))
	is.True(d.RecordExchange("x", false))
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table
			for i := range n {
				table.Merge(someMember(i))
			}
			m := someMember(7)
			b.ReportAllocs()
			for b.Loop() {
				m.Version++
				table.Merge(m)
			}
		})
	}
}

// BenchmarkMemory reports the memory of a table.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			var table Table
			for i := range n {
				table.Merge(someMember(i))
			}
			after := heap()
			for b.Loop() {
				runtime.KeepAlive(&table)
			}
			b.ReportMetric(float64(after-before)/1e6, "MB")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDiffering finds the entries that a partner lacks.
func BenchmarkDiffering(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table, partner Table
			for i := range n {
				table.Merge(someMember(i))
				if i > 0 {
					partner.Merge(someMember(i))
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Differing(partner.Digests(), 0, 512)
			}
		})
	}
}
