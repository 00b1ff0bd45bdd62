package wharfserver

import (
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharfnode/internal/wharfcallers"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfmemory"
)

const (
	// nodeConnectionBytes is what an idle connection of another node takes: the stack of its
	// goroutine, two buffers of 4 KB and the records of net/http.
	nodeConnectionBytes = 20 << 10
	// heldShare is the share of the runtime's memory that the node may hold for others. The
	// rest is for its own tables, and for what the collector hasn't collected yet: with less,
	// it would take the processor.
	heldShare = 0.5
)

// LimitMemory sets how many bytes the runtime may use. What the node holds for others stays
// well below. Zero means no limit.
func (n *Node) LimitMemory(bytes int64) {
	n.memory.SetLimit(int64(heldShare * float64(bytes)))
}

// memoryHolders returns the fields that say what fills the memory.
func (n *Node) memoryHolders() []wharfevents.Field {
	var fields []wharfevents.Field
	for _, h := range wharfbudget.Holders() {
		fields = append(fields, wharfevents.Field{Name: h.String() + "-bytes", Value: n.memory.Held(h)})
	}
	return append(fields,
		wharfevents.Field{Name: "callers", Value: wharfcallers.Connections(n.memory)},
		wharfevents.Field{Name: "nodes", Value: n.memory.Held(wharfbudget.NodeConnections) / nodeConnectionBytes},
		wharfevents.Field{Name: "calls", Value: n.proxy.InFlight()},
		wharfevents.Field{Name: "served", Value: n.target.CallsInFlight()})
}

// registerMemoryGauges registers the gauges of the memory in use and of its holders.
func (n *Node) registerMemoryGauges(metrics wharfevents.Metrics) {
	metrics.Gauge("wharf_memory_limit_bytes", func() float64 { return float64(wharfmemory.Read().Limit) })
	metrics.Gauge("wharf_memory_mapped_bytes", func() float64 { return float64(wharfmemory.Read().Mapped) })
	metrics.Gauge("wharf_memory_live_bytes", func() float64 { return float64(wharfmemory.Read().Live) })
	metrics.Gauge("wharf_collector_share", n.monitor.CollectorShare)
	for _, h := range wharfbudget.Holders() {
		metrics.Gauge("wharf_held_bytes{holder=\""+h.String()+"\"}", func() float64 { return float64(n.memory.Held(h)) })
	}
}
