package wharfmember

import (
	"slices"
	"time"
)

const (
	// reportersNeeded is how many nodes must accuse one before it is down.
	reportersNeeded = 2
	// accusationLife is how long an accusation counts.
	accusationLife = 5 * time.Second
	// failuresToAccuse is how many exchanges in a row must fail.
	failuresToAccuse = 3
)

// Accusation says that a reporter can't reach a node.
type Accusation struct {
	Subject     string
	Incarnation uint64
	Reporter    string
}

// Detector decides which nodes are down. It isn't safe for concurrent use.
// The zero Detector accuses nobody.
type Detector struct {
	failures    []failureCount
	accusations []heard
}

type failureCount struct {
	node  string
	count int
}

type heard struct {
	Accusation
	at time.Time
}

// Exchanged records whether an exchange with a node succeeded. It returns
// true when the node is to be accused.
func (d *Detector) Exchanged(node string, ok bool) bool {
	i := slices.IndexFunc(d.failures, func(f failureCount) bool { return f.node == node })
	if ok {
		if i >= 0 {
			d.failures = slices.Delete(d.failures, i, i+1)
		}
		return false
	}
	if i < 0 {
		d.failures = append(d.failures, failureCount{node: node})
		i = len(d.failures) - 1
	}
	d.failures[i].count++
	return d.failures[i].count >= failuresToAccuse
}

// Accuse takes an accusation, own or heard, and returns whether enough
// reporters agree that the subject is down. Where fewer watch it, all must.
func (d *Detector) Accuse(now time.Time, a Accusation, watchers int) bool {
	d.accusations = slices.DeleteFunc(d.accusations, func(h heard) bool {
		return now.Sub(h.at) >= accusationLife || h.Accusation == a
	})
	d.accusations = append(d.accusations, heard{a, now})
	reporters := 0
	for _, h := range d.accusations {
		if h.Subject == a.Subject && h.Incarnation == a.Incarnation {
			reporters++
		}
	}
	return reporters >= min(reportersNeeded, max(watchers, 1))
}

// Standing returns the accusations that still count, to be passed on.
func (d *Detector) Standing(now time.Time) []Accusation {
	var out []Accusation
	for _, h := range d.accusations {
		if now.Sub(h.at) < accusationLife {
			out = append(out, h.Accusation)
		}
	}
	return out
}
