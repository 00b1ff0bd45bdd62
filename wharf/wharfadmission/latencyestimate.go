package wharfadmission

import "time"

// probeInterval is the time without a sample after which a latency estimate may be outdated.
// One request in each such interval is then let in whatever the estimate is, so that a rank
// is not refused for longer on an outdated one.
const probeInterval = time.Second

// safeLatencies is how many times the usual latency a request must have left to end in time.
const safeLatencies = 4

// EndsBefore reports whether a request of a usual latency that starts now is likely to end
// before a time. Some requests take longer, so that it is no promise.
func EndsBefore(end, now time.Time, usual time.Duration) bool {
	return now.Add(safeLatencies * usual).Before(end)
}

// latencyEstimate is the usual latency of the requests of a rank. The zero latencyEstimate
// knows no latency.
type latencyEstimate struct {
	seconds float64
	// sampledAt is the time of the last sample, and probedAt that of the last probe.
	sampledAt, probedAt time.Time
	// probeID is the request that was let in last to measure the latency again.
	probeID uint64
}

// observe adds a sample. After a time without samples it replaces the outdated average.
func (e *latencyEstimate) observe(now time.Time, latency time.Duration) {
	if now.Sub(e.sampledAt) >= probeInterval {
		e.seconds = 0
	}
	e.seconds, e.sampledAt = smooth(e.seconds, latency.Seconds(), latencyWeight), now
}

// probe reports whether a request is let in to measure the latency again.
func (e *latencyEstimate) probe(now time.Time, id uint64) bool {
	if e.isProbe(id) {
		return true
	}
	if now.Sub(e.sampledAt) < probeInterval || now.Sub(e.probedAt) < probeInterval {
		return false
	}
	e.probeID, e.probedAt = id, now
	return true
}

func (e *latencyEstimate) isProbe(id uint64) bool {
	return !e.probedAt.IsZero() && e.probeID == id
}
