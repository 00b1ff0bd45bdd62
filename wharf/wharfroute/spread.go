package wharfroute

import "slices"

// Spread deals the requests of one route to its services in proportion to
// their weights, evenly over any short run of requests. It isn't safe for
// concurrent use; its owner holds a lock. The zero Spread is ready to use.
type Spread struct {
	shares []Share
	credit []int
}

// Next returns the service of the next request.
func (s *Spread) Next(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	if !slices.Equal(s.shares, r.Shares) {
		s.shares, s.credit = r.Shares, make([]int, len(r.Shares))
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
	s.credit[best] -= r.Weight()
	return s.shares[best].Service
}
