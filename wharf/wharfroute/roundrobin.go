package wharfroute

import "slices"

// WeightedRoundRobin deals the requests of one route to its services in proportion to
// their weights, evenly over any short run of requests. It isn't safe for
// concurrent use; its owner holds a lock. The zero WeightedRoundRobin is ready to use.
type WeightedRoundRobin struct {
	shares []WeightedService
	credit []int
}

// Next returns the service of the next request.
func (s *WeightedRoundRobin) Next(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	if !slices.Equal(s.shares, r.Services) {
		s.shares, s.credit = r.Services, make([]int, len(r.Services))
	}
	// Each service earns its weight with each request; the one that is owed
	// most gets the request and pays for all.
	best := -1
	for i, share := range s.shares {
		s.credit[i] += share.Weight
		if share.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.credit[best] -= r.TotalWeight()
	return s.shares[best].Service
}
