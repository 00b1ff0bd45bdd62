package wharfmemory

import (
	"math"
	"runtime/metrics"
)

// Usage is the memory in use by the Go runtime, in bytes.
type Usage struct {
	// Limit is the limit of the runtime, zero if there is none, and Mapped what the runtime
	// counts against it.
	Limit, Mapped int64
	// Live is the part of the heap that the last collection left, and Stacks that of the
	// stacks of goroutines. Neither can be collected.
	Live, Stacks int64
	// collectorSeconds and processorSeconds count the processor time of the collector, and
	// what the process could have used.
	collectorSeconds, processorSeconds float64
}

// shortShare is the share of the limit at which memory is short. Above it the collector runs
// so often that it takes the processor.
const shortShare = 0.8

// Short reports whether the memory is short.
func (u Usage) Short() bool {
	return u.Limit > 0 && (float64(u.Live+u.Stacks) > shortShare*float64(u.Limit) || u.Mapped > u.Limit)
}

// CollectorShare returns the share of the processor time that the collector took since an
// earlier reading, from 0 to 1. The runtime updates it at each collection.
func (u Usage) CollectorShare(earlier Usage) float64 {
	elapsed := u.processorSeconds - earlier.processorSeconds
	if elapsed <= 0 {
		return 0
	}
	return (u.collectorSeconds - earlier.collectorSeconds) / elapsed
}

// usageMetrics are the metrics of the runtime that Read reads, in this order.
var usageMetrics = []string{
	"/gc/gomemlimit:bytes",
	"/memory/classes/total:bytes",
	"/memory/classes/heap/released:bytes",
	"/gc/heap/live:bytes",
	"/memory/classes/heap/stacks:bytes",
	"/cpu/classes/gc/total:cpu-seconds",
	"/cpu/classes/total:cpu-seconds",
}

// Read returns the memory in use.
func Read() Usage {
	samples := make([]metrics.Sample, len(usageMetrics))
	for i, name := range usageMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	u := Usage{
		Mapped: bytesOf(samples[1]) - bytesOf(samples[2]), Live: bytesOf(samples[3]), Stacks: bytesOf(samples[4]),
		collectorSeconds: samples[5].Value.Float64(), processorSeconds: samples[6].Value.Float64(),
	}
	if limit := bytesOf(samples[0]); limit < math.MaxInt64 {
		u.Limit = limit
	}
	return u
}

func bytesOf(s metrics.Sample) int64 {
	return int64(min(s.Value.Uint64(), math.MaxInt64))
}
