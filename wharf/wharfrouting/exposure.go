package wharfrouting

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxExposedPerDomain is the number of targets of one failure domain that a request
// may run on while it is not known safe. A request is known safe after it has
// completed without a crash.
const maxExposedPerDomain = 2

// ExposureLimit bounds the set of targets that a request may run on. It selects
// them by rendezvous hashing, so that nodes which choose among the same targets
// select the same ones. A request that crashes its targets then reaches only
// these, however many nodes send it at once. The zero ExposureLimit allows all
// targets.
type ExposureLimit struct {
	// Fingerprint identifies the request and all its resends. Zero means that
	// the request is known safe and has no limit.
	Fingerprint uint64
	// Crashed lists the addresses of targets that crashed, or may have crashed,
	// while they ran the request. Each counts towards the limit of its failure
	// domain.
	Crashed []string
}

// Allows reports whether the target with the given address may run the request.
// The targets are all targets of the service.
func (l ExposureLimit) Allows(targets []Target, address string) bool {
	if slices.Contains(l.Crashed, address) {
		// Another run on this target exposes no further target.
		return true
	}
	states := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		states = append(states, &targetState{Target: t, hash: hashAddress(t.Address)})
	}
	staying := slices.DeleteFunc(slices.Clone(states), func(s *targetState) bool { return s.Leaving })
	allowed := l.filter(staying, states)
	return slices.ContainsFunc(allowed, func(s *targetState) bool { return s.Address == address })
}

func hashAddress(address string) uint64 {
	return xxhash.Sum64String(address)
}

// weight returns the rendezvous hashing weight of a target for the request.
func (l ExposureLimit) weight(s *targetState) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], l.Fingerprint)
	binary.LittleEndian.PutUint64(b[8:], s.hash)
	return xxhash.Sum64(b[:])
}

// domainExposure holds the targets of one failure domain that may run a request,
// in descending order of weight.
type domainExposure struct {
	domain  string
	targets [maxExposedPerDomain]*targetState
	weights [maxExposedPerDomain]uint64
}

// insert adds a target if its weight is among the maxExposedPerDomain highest.
func (x *domainExposure) insert(s *targetState, weight uint64) {
	for i := range x.targets {
		if x.targets[i] == nil || weight > x.weights[i] {
			x.targets[i], s = s, x.targets[i]
			x.weights[i], weight = weight, x.weights[i]
		}
		if s == nil {
			return
		}
	}
}

// filter returns the candidates that may run the request. The known targets are
// all targets of the service. A target that crashed is returned only if no other
// candidate is allowed.
func (l ExposureLimit) filter(candidates, known []*targetState) []*targetState {
	if l.Fingerprint == 0 {
		return candidates
	}
	var exposures []domainExposure
	var crashed, allowed []*targetState
	for _, s := range candidates {
		if slices.Contains(l.Crashed, s.Address) {
			crashed = append(crashed, s)
			continue
		}
		i := slices.IndexFunc(exposures, func(x domainExposure) bool { return x.domain == s.FailureDomain })
		if i < 0 {
			i = len(exposures)
			exposures = append(exposures, domainExposure{domain: s.FailureDomain})
		}
		exposures[i].insert(s, l.weight(s))
	}
	for _, x := range exposures {
		allowed = append(allowed, x.top(maxExposedPerDomain-l.crashesIn(x.domain, known))...)
	}
	if len(allowed) == 0 {
		return crashed
	}
	return allowed
}

// crashesIn counts the crashed targets of a failure domain. The domain of a target
// that is no longer known can't be determined, so such a target counts in every
// domain.
func (l ExposureLimit) crashesIn(domain string, known []*targetState) int {
	n := 0
	for _, address := range l.Crashed {
		i := slices.IndexFunc(known, func(s *targetState) bool { return s.Address == address })
		if i < 0 || known[i].FailureDomain == domain {
			n++
		}
	}
	return n
}

// top returns the n targets with the highest weights, or fewer if there are fewer.
// A negative n counts as zero.
func (x *domainExposure) top(n int) []*targetState {
	var out []*targetState
	for _, s := range x.targets[:max(n, 0)] {
		if s != nil {
			out = append(out, s)
		}
	}
	return out
}
