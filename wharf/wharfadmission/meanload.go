package wharfadmission

import "time"

// meanLoadTime is the time over which the load of a target is averaged. Senders of a failure domain
// that leave it by the load of its targets swing with reports that are older than about this
// time.
const meanLoadTime = time.Second

// MeanLoad is the mean of the load of a target over the last time. The zero MeanLoad knows no load.
type MeanLoad struct {
	mean float64
	last time.Time
}

// Observe records the load at present.
func (l *MeanLoad) Observe(now time.Time, load float64) {
	weight := 1.0
	if !l.last.IsZero() {
		weight = min(now.Sub(l.last).Seconds()/meanLoadTime.Seconds(), 1)
	}
	l.mean += weight * (load - l.mean)
	l.last = now
}

// Mean returns the mean load, zero before the first observation.
func (l *MeanLoad) Mean() float64 {
	return l.mean
}
