package wharfadmission

import "time"

const (
	// callerTTL is how long a caller of a route counts after its last request.
	callerTTL = 10 * time.Second
	// clientCallerShare is the share of the services that must call a route for it to be
	// one of clients.
	clientCallerShare = 0.7
	// minClientCallers is the least number of callers of such a route.
	minClientCallers = 2
)

// ClientRouteDetector tells the requests of clients from the calls that services make to
// serve them, where requests don't say so. Clients are spread over the VMs of all
// services, so their kinds of request come from most services. A call comes from
// the few services whose work needs it. It isn't safe for concurrent use. The
// zero ClientRouteDetector has seen nothing.
type ClientRouteDetector struct {
	routes map[string]map[string]time.Time
}

// IsClientRequest counts a request for a route by a calling service and reports whether it
// is one of clients. As long as that isn't known it counts as a call, which is
// never held back.
func (o *ClientRouteDetector) IsClientRequest(now time.Time, route, caller string, services int) bool {
	if o.routes == nil {
		o.routes = map[string]map[string]time.Time{}
	}
	callers, ok := o.routes[route]
	if !ok {
		callers = map[string]time.Time{}
		o.routes[route] = callers
	}
	callers[caller] = now
	for name, seen := range callers {
		if now.Sub(seen) > callerTTL {
			delete(callers, name)
		}
	}
	return len(callers) >= max(minClientCallers, int(clientCallerShare*float64(services)+0.5))
}

// Prune drops the routes that nothing has called for a while.
func (o *ClientRouteDetector) Prune(now time.Time) {
	for route, callers := range o.routes {
		idle := true
		for _, seen := range callers {
			idle = idle && now.Sub(seen) > callerTTL
		}
		if idle {
			delete(o.routes, route)
		}
	}
}
