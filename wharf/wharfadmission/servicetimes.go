package wharfadmission

import "time"

// maxServiceTimes bounds the number of routes whose service times are kept for a target. The
// route that was used least recently is dropped.
const maxServiceTimes = 32

// ServiceTimes estimates how long a request of each route occupies a slot of a target. Routes
// differ in their work, so that only times of the same route tell the speeds of two targets. The
// zero ServiceTimes knows no time.
type ServiceTimes struct {
	routes []routeServiceTime
}

// routeServiceTime is the estimate for one route.
type routeServiceTime struct {
	route    string
	estimate serviceTimeEstimate
	last     time.Time
}

// Observe records how long a request of a route occupied its slot. The slowness is how long work
// took meanwhile, relative to the usual time, as the target has stated it; zero if it hasn't.
func (s *ServiceTimes) Observe(now time.Time, route string, elapsed time.Duration, slowness float64) {
	r := s.find(route)
	if r == nil {
		r = s.add(route)
	}
	if slowness > 0 {
		elapsed = time.Duration(float64(elapsed) / slowness)
	}
	r.estimate.observe(now, elapsed)
	r.last = now
}

// Time returns how long a request of a route occupies a slot at a slowness, zero if that isn't
// known.
func (s *ServiceTimes) Time(route string, slowness float64) time.Duration {
	r := s.find(route)
	if r == nil {
		return 0
	}
	seconds := r.estimate.seconds
	if slowness > 0 {
		seconds *= slowness
	}
	return time.Duration(seconds * float64(time.Second))
}

func (s *ServiceTimes) find(route string) *routeServiceTime {
	for i := range s.routes {
		if s.routes[i].route == route {
			return &s.routes[i]
		}
	}
	return nil
}

// add returns a new estimate for a route, in the place of the least recently used one if there
// are too many.
func (s *ServiceTimes) add(route string) *routeServiceTime {
	if len(s.routes) < maxServiceTimes {
		s.routes = append(s.routes, routeServiceTime{route: route})
		return &s.routes[len(s.routes)-1]
	}
	oldest := &s.routes[0]
	for i := range s.routes {
		if s.routes[i].last.Before(oldest.last) {
			oldest = &s.routes[i]
		}
	}
	*oldest = routeServiceTime{route: route}
	return oldest
}
