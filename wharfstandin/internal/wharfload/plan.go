package wharfload

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Class is a kind of request in the load.
type Class struct {
	Name string
	// Share is the weight of the class relative to the other classes.
	Share  float64
	Method string
	Path   string
	// Bytes is the size of the request body.
	Bytes int
}

// ParseClasses parses classes of the form NAME:SHARE:METHOD:PATH[:BYTES].
func ParseClasses(texts []string) ([]Class, error) {
	var classes []Class
	for _, text := range texts {
		parts := strings.Split(text, ":")
		if len(parts) != 4 && len(parts) != 5 {
			return nil, oops.Errorf("%q is not of the form NAME:SHARE:METHOD:PATH[:BYTES]", text)
		}
		share, err := strconv.ParseFloat(parts[1], 64)
		if err != nil || share <= 0 {
			return nil, oops.Errorf("the share in %q is not a number above 0", text)
		}
		c := Class{Name: parts[0], Share: share, Method: parts[2], Path: parts[3]}
		if len(parts) == 5 {
			c.Bytes, err = strconv.Atoi(parts[4])
			if err != nil || c.Bytes < 0 {
				return nil, oops.Errorf("the body size in %q is not an integer of at least 0", text)
			}
		}
		classes = append(classes, c)
	}
	return classes, nil
}

// Disruption is a period of a run with a higher request rate, slower targets,
// or both.
type Disruption struct {
	// At is the time from the start of the run to the start of the disruption.
	At time.Duration
	// For is the length of the disruption; 0 means that the run has none.
	For time.Duration
	// Surge is the factor on the request rate.
	Surge float64
	// Slow lists the URLs of stand-in targets whose service time changes from
	// SlowFromMs to SlowToMs, in milliseconds.
	Slow       []string
	SlowFromMs float64
	SlowToMs   float64
	// Capacity is the number of user requests per second that the remaining
	// capacity can serve; 0 means unknown.
	Capacity float64
}

// active reports whether the disruption is under way at a time since the start
// of the run.
func (d Disruption) active(at time.Duration) bool {
	return d.For > 0 && at >= d.At && at < d.At+d.For
}

// Plan describes a run.
type Plan struct {
	Name string
	// CallerURLs lists the caller URLs of the nodes, which are used in rotation.
	CallerURLs []string
	Service    string
	Classes    []Class
	// Rate is the number of user requests per second. A user request is one
	// request of a user, however often the caller sends it.
	Rate     float64
	Duration time.Duration
	// Timeout bounds a user request with all its resends.
	Timeout time.Duration
	// Resends is the maximum number of resends of a failed user request.
	Resends int
	// HonorRetryAfter makes callers wait for the retry-after hint before they resend.
	HonorRetryAfter bool
	// Keys gives each user request other than a GET an idempotency key.
	Keys       bool
	Disruption Disruption
	// Targets lists the URLs of stand-in targets whose arrivals are counted.
	Targets []string
}
