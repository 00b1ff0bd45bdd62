package wharfadmission

import (
	"math"
	"time"
)

const (
	// processorRateWeight is the weight of a new window in the moving average of the rate
	// of calls that the processor can carry.
	processorRateWeight = 0.3
	// processorIncrease is the relative increase of that rate in a window in which the
	// node has enough processor time. It doubles in each processorDoublingWindows, so that
	// a rate from a time when the node was slow is gone after five seconds.
	processorIncrease        = 0.01
	processorDoublingWindows = 10
	// idleProcessorDelay is the mean wait below which the node has processor time to spare. The
	// rate then grows by idleProcessorFactor in a window, because a low rate that was
	// measured in a short stall isn't what the processor can carry.
	idleProcessorDelay  = processorDelayThreshold / 6
	idleProcessorFactor = 1.05
	// turnsWeight is the weight of a new window in the moving averages of turns and calls. They
	// cover the time in which a request makes its calls, several times.
	turnsWeight = 0.05
	// unusedProcessorRatio is the ratio of the estimate to the rate of turns above which
	// the estimate is dropped.
	unusedProcessorRatio = 4.0
	// processorRefusalDelay is the wait for the processor above which calls of the least important rank
	// are refused on their arrival, in part, and at twice that all of them. The wait is four times as long for each
	// more important rank that is present, up to maxProcessorRefusalDelay. Until what the
	// node can carry is known where requests enter, the calls that have arrived wait in the order of
	// their arrival, and a request that makes eight of them, one after another, misses its
	// deadline at a wait of 100 ms.
	processorRefusalDelay    = 20 * time.Millisecond
	maxProcessorRefusalDelay = 160 * time.Millisecond
	// refusalTurns is the part of a turn that a call takes which is refused on its arrival.
	refusalTurns = 0.5
	// backlogTime is the time in which the requests that wait for the processor are to be
	// served, and maxBacklogShare the largest share of the rate that is kept for them.
	backlogTime     = 50 * time.Millisecond
	maxBacklogShare = 0.8
)

// ProcessorLoad is what the processor of a node can carry. The zero ProcessorLoad means that
// no limit is known.
type ProcessorLoad struct {
	// PerSecond is the number of calls a second, and Backlog the part of it that is needed
	// for the requests that wait for the processor.
	PerSecond, Backlog float64
	// Utilization is the share of the processor that is in use, above one while requests wait.
	Utilization float64
	// Wait is the mean wait for the processor, zero unless the node is short of it.
	Wait time.Duration
}

// servedPart returns the part of the calls of a rank that is to be served in spite of the wait for
// the processor, if the calls of a number of less important ranks arrive. To refuse a call on its arrival
// takes a part of the time that it takes to serve it.
func (l ProcessorLoad) servedPart(lessImportant int) float64 {
	threshold := min(processorRefusalDelay<<min(2*max(lessImportant, 0), 8), maxProcessorRefusalDelay)
	return min(max(2-l.Wait.Seconds()/threshold.Seconds(), 0), 1)
}

// scarce reports whether calls have to be rejected for want of processor time.
func (l ProcessorLoad) scarce() bool {
	return l.Utilization > usableShare
}

// Limit returns the number of calls that a node can have in progress, of which there are
// busy ones and for which the target has slots. Senders compare the nodes of a service by
// what is in progress relative to this limit.
func (l ProcessorLoad) Limit(slots, busy int) int {
	if l.Utilization == 0 {
		return slots
	}
	return min(max(int(float64(busy+1)/l.Utilization), 1), slots)
}

// ProcessorLimit estimates how many calls to its target the processor of a node can carry.
// Each request takes a turn on the processor: the calls that the node gets, those that its target
// makes for them, and the requests of clients. The rate of turns while requests wait for the
// processor is all that it can carry, whatever a turn costs and whatever else the processor does. The
// rate of calls at that moment isn't: the turns may belong to calls that came before. A ProcessorLimit
// isn't safe for concurrent use. The zero ProcessorLimit knows no limit.
type ProcessorLimit struct {
	delay       ProcessorDelay
	windowStart time.Time
	calls       int
	turns       float64
	// meanCalls and meanTurns are moving averages of the calls and turns in a second.
	meanCalls, meanTurns float64
	// capacity is the number of turns a second that the processor can carry, zero if it
	// isn't known.
	capacity float64
	// rate is the number of turns a second in the last window.
	rate float64
	// sufficient counts the windows in which the node had enough processor time since it
	// was last short of it.
	sufficient int
}

// RecordCall records a call that has arrived.
func (p *ProcessorLimit) RecordCall() {
	p.calls++
}

// RecordRefusal records that a call was refused on its arrival, which takes less of the processor
// than to serve it.
func (p *ProcessorLimit) RecordRefusal() {
	p.turns -= 1 - refusalTurns
}

// Observe records a turn, and how long its request has waited for the processor. It reports
// whether a window has ended.
func (p *ProcessorLimit) Observe(now time.Time, wait time.Duration) bool {
	if now.Sub(p.delay.last) > maxProcessorPause {
		*p = ProcessorLimit{windowStart: now, calls: p.calls}
	}
	p.turns++
	ended := p.delay.Observe(now, wait)
	if ended {
		p.endWindow(now)
	}
	return ended
}

// Delay returns how long requests wait for the processor.
func (p *ProcessorLimit) Delay() *ProcessorDelay {
	return &p.delay
}

// Load returns what the processor can carry.
func (p *ProcessorLimit) Load(now time.Time) ProcessorLoad {
	if p.capacity == 0 || now.Sub(p.delay.last) > maxProcessorPause {
		return ProcessorLoad{}
	}
	share := min(p.delay.Mean(now).Seconds()/backlogTime.Seconds(), maxBacklogShare)
	perSecond := p.capacity / p.turnsPerCall()
	load := ProcessorLoad{PerSecond: perSecond, Backlog: share * perSecond, Utilization: p.rate/p.capacity + share}
	if p.delay.Short(now) {
		load.Wait = p.delay.Mean(now)
	}
	return load
}

// turnsPerCall returns how many turns there are for each call that the node gets, which is at least
// its own.
func (p *ProcessorLimit) turnsPerCall() float64 {
	if p.meanCalls == 0 {
		return 1
	}
	return max(p.meanTurns/p.meanCalls, 1)
}

func (p *ProcessorLimit) endWindow(now time.Time) {
	seconds := now.Sub(p.windowStart).Seconds()
	rate := max(p.turns, 0) / seconds
	p.meanCalls = smooth(p.meanCalls, float64(p.calls)/seconds, turnsWeight)
	p.meanTurns = smooth(p.meanTurns, rate, turnsWeight)
	p.windowStart, p.calls, p.turns, p.rate = now, 0, 0, rate
	switch {
	case p.delay.Short(now):
		p.sufficient = 0
		p.capacity = smooth(p.capacity, rate, processorRateWeight)
	case p.capacity > unusedProcessorRatio*rate:
		p.capacity = 0
	case p.delay.Mean(now) < idleProcessorDelay:
		p.capacity *= idleProcessorFactor
		p.sufficient++
	default:
		p.capacity *= 1 + processorIncrease*math.Exp2(float64(p.sufficient/processorDoublingWindows))
		p.sufficient++
	}
}
