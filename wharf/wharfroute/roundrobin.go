package wharfroute

import "slices"

// WeightedRoundRobin distributes the requests of one route over its services in
// proportion to their weights. The algorithm is smooth weighted round robin, so that
// short sequences of requests are also close to the proportion. The zero
// WeightedRoundRobin is ready to use. It is not safe for concurrent use; the caller
// must hold a lock.
type WeightedRoundRobin struct {
	services []WeightedService
	credit   []int
}

// Peek returns the service that Next would return, and changes nothing.
func (s *WeightedRoundRobin) Peek(r *Route) string {
	next := WeightedRoundRobin{services: s.services, credit: slices.Clone(s.credit)}
	return next.Next(r)
}

// Next returns the service for the next request of the route. The only service of a
// route is returned whatever its weight. Next returns "" if a route has no service
// with a weight above zero. A change of the services or weights resets the credits.
func (s *WeightedRoundRobin) Next(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	if !slices.Equal(s.services, r.Services) {
		s.services, s.credit = r.Services, make([]int, len(r.Services))
	}
	// Each request adds every service's weight to its credit. The service with
	// the highest credit gets the request, and the total weight is subtracted
	// from that credit.
	best := -1
	for i, service := range s.services {
		s.credit[i] += service.Weight
		if service.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.credit[best] -= r.TotalWeight()
	return s.services[best].Service
}
