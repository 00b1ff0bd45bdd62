package wharfadmission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOrigins tells clients, which are spread over the VMs of all services, from
// services that call each other.
func TestOrigins(t *testing.T) {
	tests := []struct {
		name     string
		services int
		callers  []string
		fresh    bool
	}{
		{"clients on all VMs", 4, []string{"a", "b", "c", "d"}, true},
		{"clients not seen from one service", 4, []string{"a", "b", "c"}, true},
		{"one service calls", 4, []string{"c"}, false},
		{"two of four services call", 4, []string{"b", "c"}, false},
		{"two services in all", 2, []string{"a", "b"}, true},
		{"one service in all", 1, []string{"a"}, false},
		{"several of many services call", 20, []string{"a", "b", "c", "d", "e"}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var o ClientRouteDetector
			now, fresh := time.Unix(1000, 0), false
			for range 3 {
				for _, caller := range tc.callers {
					fresh = o.IsClientRequest(now, "route", caller, tc.services)
					now = now.Add(100 * time.Millisecond)
				}
			}
			is.Equal(fresh, tc.fresh)
			now = now.Add(time.Minute)
			is.True(!o.IsClientRequest(now, "route", tc.callers[0], tc.services)) // old callers don't count
			o.Prune(now.Add(time.Minute))
			is.Equal(len(o.routes), 0)
		})
	}
}

func BenchmarkOrigins(b *testing.B) {
	var o ClientRouteDetector
	now := time.Unix(1000, 0)
	for i := range b.N {
		o.IsClientRequest(now, fmt.Sprint("route-", i%8), "a", 4)
	}
}
