package wharfadmission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClientRouteDetector checks that routes of clients, which run on the VMs of
// all services, are distinguished from routes of services that call each other.
func TestClientRouteDetector(t *testing.T) {
	tests := []struct {
		name        string
		services    int
		callers     []string
		fromClients bool
	}{
		{"clients on all VMs", 4, []string{"a", "b", "c", "d"}, true},
		{"clients on all VMs but those of one service", 4, []string{"a", "b", "c"}, true},
		{"one service calls", 4, []string{"c"}, false},
		{"two of four services call", 4, []string{"b", "c"}, false},
		{"only two services exist", 2, []string{"a", "b"}, true},
		{"only one service exists", 1, []string{"a"}, false},
		{"several of many services call", 20, []string{"a", "b", "c", "d", "e"}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var d ClientRouteDetector
			now, fromClients := time.Unix(1000, 0), false
			for range 3 {
				for _, caller := range tc.callers {
					fromClients = d.IsClientRequest(now, "route", caller, tc.services)
					now = now.Add(100 * time.Millisecond)
				}
			}
			is.Equal(fromClients, tc.fromClients)
			now = now.Add(time.Minute)
			is.True(!d.IsClientRequest(now, "route", tc.callers[0], tc.services)) // expired callers don't count
			d.Prune(now.Add(time.Minute))
			is.Equal(len(d.routes), 0)
		})
	}
}

func BenchmarkClientRouteDetector(b *testing.B) {
	var d ClientRouteDetector
	now := time.Unix(1000, 0)
	for i := range b.N {
		d.IsClientRequest(now, fmt.Sprint("route-", i%8), "a", 4)
	}
}
