package wharfstate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfstream"
)

// capacitySizes lists the numbers of rules that the benchmarks run with, to
// show how cost grows with them.
var capacitySizes = []int{500, 2_000, 8_000}

// ruleChange returns a record that adds a rule for a service.
func ruleChange(b *testing.B, offset uint64) wharfstream.Record {
	doc := &wharfconfig.Document{
		Kind: wharfconfig.KindRule, Name: fmt.Sprint("rule-", offset),
		Selector: fmt.Sprintf("service=service-%d,work=read", offset%1900), Class: "reads",
	}
	change := &wharfconfig.Change{ID: fmt.Sprint(offset), Author: "bench", Edits: []wharfconfig.Edit{{Key: doc.Key(), Document: doc}}}
	return wharfstream.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: encode(b, Envelope{Change: change})}
}

func stateWithRules(b *testing.B, n int) *State {
	records := make([]wharfstream.Record, 0, n)
	for i := range n {
		records = append(records, ruleChange(b, uint64(i+1)))
	}
	return (*State)(nil).WithRecords(records)
}

// BenchmarkChange applies one change to a state with many rules.
func BenchmarkChange(b *testing.B) {
	for _, n := range capacitySizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := stateWithRules(b, n)
			next := []wharfstream.Record{ruleChange(b, s.Offset()+1)}
			b.ReportAllocs()
			for b.Loop() {
				s.WithRecords(next)
			}
		})
	}
}

// BenchmarkSnapshot loads the serialized form of a state with many rules and
// reports its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range capacitySizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := stateWithRules(b, n)
			data, err := s.Save()
			for b.Loop() {
				if err == nil {
					_, err = Restore(data)
				}
			}
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkMemory reports the heap memory of a state with many rules and owners.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			s := stateWithRules(b, n/2)
			var announcements []wharfstream.Record
			for i := range n {
				r := wharfidempotency.OwnershipRecord{Kind: wharfidempotency.Announce, Node: fmt.Sprintf("domain-%d/10.0.0.%d:7001", i%6, i), Incarnation: 1, Address: "10.0.0.1:7001", Services: []string{fmt.Sprint("service-", i%1900)}}
				announcements = append(announcements, wharfstream.Record{Offset: s.Offset() + uint64(i+1), Data: encode(b, Envelope{Ownership: &r})})
			}
			s = s.WithRecords(announcements)
			after := heap() - recordBytes(announcements)
			for b.Loop() {
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after-before)/1e6, "MB")
		})
	}
}

// recordBytes returns the size of the records, which a node doesn't keep.
func recordBytes(records []wharfstream.Record) uint64 {
	n := uint64(0)
	for _, r := range records {
		n += uint64(len(r.Data))
	}
	runtime.KeepAlive(records)
	return n
}

// heap returns the bytes of live heap objects after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
