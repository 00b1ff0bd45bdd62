package wharfadmission

import "time"

const (
	// minServedWithoutCalls is the number of requests of a route that must have made
	// no downstream call before the route counts as one that makes none.
	minServedWithoutCalls = 10
	// routeTTL is how long a route is remembered after its last request.
	routeTTL = time.Minute
)

// routeCalls counts the requests of a route and the downstream calls made for them.
type routeCalls struct {
	served, calls int
	// ended counts the requests that the target has responded to.
	ended      int
	lastServed time.Time
}

// DownstreamCalls learns which routes of a target lead to downstream calls. Requests of
// the other routes don't use the services downstream, so that a queue there is no reason
// to reject them. A DownstreamCalls isn't safe for concurrent use. The zero
// DownstreamCalls has recorded nothing.
type DownstreamCalls struct {
	routes map[string]*routeCalls
	// attributed is true once a call was attributed to a route. Without that, nothing
	// is known of any route.
	attributed bool
}

func (d *DownstreamCalls) route(route string) *routeCalls {
	if d.routes == nil {
		d.routes = map[string]*routeCalls{}
	}
	r, ok := d.routes[route]
	if !ok {
		r = &routeCalls{}
		d.routes[route] = r
	}
	return r
}

// RecordServed records that the target begins to serve a request of a route.
func (d *DownstreamCalls) RecordServed(now time.Time, route string) {
	r := d.route(route)
	r.served++
	r.lastServed = now
}

// RecordEnded records that the target has responded to a request of a route.
func (d *DownstreamCalls) RecordEnded(route string) {
	d.route(route).ended++
}

// RecordCall records a downstream call made to serve a request of a route.
func (d *DownstreamCalls) RecordCall(route string) {
	d.route(route).calls++
	d.attributed = true
}

// MayCall reports whether requests of a route may make downstream calls.
func (d *DownstreamCalls) MayCall(route string) bool {
	r, ok := d.routes[route]
	return !ok || !d.attributed || r.calls > 0 || r.served < minServedWithoutCalls
}

// MakesNoCalls reports whether enough requests of a route are known to have made no
// downstream call.
func (d *DownstreamCalls) MakesNoCalls(route string) bool {
	r, ok := d.routes[route]
	return ok && r.calls == 0 && r.ended >= minServedWithoutCalls
}

// Prune drops the routes without a request within routeTTL.
func (d *DownstreamCalls) Prune(now time.Time) {
	for route, r := range d.routes {
		if now.Sub(r.lastServed) > routeTTL {
			delete(d.routes, route)
		}
	}
}
