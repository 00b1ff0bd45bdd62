package wharfload

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Class is a kind of request in the mix.
type Class struct {
	Name   string
	Share  float64
	Method string
	Path   string
	// Bytes is the size of the body that is sent.
	Bytes int
}

// ParseClasses reads kinds of the form NAME:SHARE:METHOD:PATH[:BYTES].
func ParseClasses(texts []string) ([]Class, error) {
	var classes []Class
	for _, text := range texts {
		parts := strings.Split(text, ":")
		if len(parts) != 4 && len(parts) != 5 {
			return nil, oops.Errorf("%q is not of the form NAME:SHARE:METHOD:PATH[:BYTES]", text)
		}
		share, err := strconv.ParseFloat(parts[1], 64)
		if err != nil || share <= 0 {
			return nil, oops.Errorf("%q has no share above 0", text)
		}
		c := Class{Name: parts[0], Share: share, Method: parts[2], Path: parts[3]}
		if len(parts) == 5 {
			c.Bytes, err = strconv.Atoi(parts[4])
			if err != nil || c.Bytes < 0 {
				return nil, oops.Errorf("%q has no size", text)
			}
		}
		classes = append(classes, c)
	}
	return classes, nil
}

// Disruption is what happens to the system in the middle of a run.
type Disruption struct {
	At  time.Duration
	For time.Duration
	// Surge multiplies the rate.
	Surge float64
	// Slow lists stand-in targets whose service time changes.
	Slow       []string
	SlowFromMs float64
	SlowToMs   float64
	// Capacity is the user requests a second that the capacity left allows.
	Capacity float64
}

// active reports whether the trouble lasts at a time of the run.
func (t Disruption) active(at time.Duration) bool {
	return t.For > 0 && at >= t.At && at < t.At+t.For
}

// Plan describes a run.
type Plan struct {
	Name       string
	Entries    []string
	Service    string
	Classes    []Class
	Rate       float64
	Duration   time.Duration
	Timeout    time.Duration
	Resends    int
	Polite     bool
	Keys       bool
	Disruption Disruption
	Targets    []string
}
