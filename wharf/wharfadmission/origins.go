package wharfadmission

import "time"

const (
	// originLife is how long a caller of a route counts after its last request.
	originLife = 10 * time.Second
	// wideShare is the share of the services that must call a route for it to be
	// one of clients.
	wideShare = 0.7
	// leastOrigins is the least number of callers of such a route.
	leastOrigins = 2
)

// Origins tells the requests of clients from the calls that services make to
// serve them, where requests don't say so. Clients are spread over the VMs of all
// services, so their kinds of request come from most services. A call comes from
// the few services whose work needs it. It isn't safe for concurrent use. The
// zero Origins has seen nothing.
type Origins struct {
	routes map[string]map[string]time.Time
}

// Fresh counts a request for a route by a calling service and reports whether it
// is one of clients. As long as that isn't known it counts as a call, which is
// never held back.
func (o *Origins) Fresh(now time.Time, route, caller string, services int) bool {
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
		if now.Sub(seen) > originLife {
			delete(callers, name)
		}
	}
	return len(callers) >= max(leastOrigins, int(wideShare*float64(services)+0.5))
}

// Forget drops the routes that nothing has called for a while.
func (o *Origins) Forget(now time.Time) {
	for route, callers := range o.routes {
		idle := true
		for _, seen := range callers {
			idle = idle && now.Sub(seen) > originLife
		}
		if idle {
			delete(o.routes, route)
		}
	}
}
