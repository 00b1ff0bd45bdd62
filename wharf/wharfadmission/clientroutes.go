package wharfadmission

import "time"

const (
	// callerTTL is how long a caller of a route counts after its last request.
	callerTTL = 10 * time.Second
	// clientCallerShare is the share of all services that must call a route before
	// the route counts as called by clients.
	clientCallerShare = 0.7
	// minClientCallers is the smallest number of callers of such a route.
	minClientCallers = 2
)

// ClientRouteDetector distinguishes client requests from calls that services make
// to serve them, for requests that don't carry this information. Clients run on
// the VMs of all services, so the routes that clients use are called from most
// services. A route between services is called only from the few services that
// need it. A ClientRouteDetector isn't safe for concurrent use. The zero
// ClientRouteDetector has recorded no callers.
type ClientRouteDetector struct {
	routes map[string]map[string]time.Time
}

// IsClientRequest records a request from a caller for a route and reports whether
// clients call the route. services is the number of all services. Until enough
// callers are known, the request counts as a call between services, which
// backpressure never rejects.
func (d *ClientRouteDetector) IsClientRequest(now time.Time, route, caller string, services int) bool {
	if d.routes == nil {
		d.routes = map[string]map[string]time.Time{}
	}
	callers, ok := d.routes[route]
	if !ok {
		callers = map[string]time.Time{}
		d.routes[route] = callers
	}
	callers[caller] = now
	for name, seen := range callers {
		if now.Sub(seen) > callerTTL {
			delete(callers, name)
		}
	}
	return len(callers) >= max(minClientCallers, int(clientCallerShare*float64(services)+0.5))
}

// Prune drops the routes that have had no request within callerTTL.
func (d *ClientRouteDetector) Prune(now time.Time) {
	for route, callers := range d.routes {
		idle := true
		for _, seen := range callers {
			idle = idle && now.Sub(seen) > callerTTL
		}
		if idle {
			delete(d.routes, route)
		}
	}
}
