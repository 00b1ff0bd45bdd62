package wharfrouting

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxExposed is how many targets of a failure domain a request may run on
// while it isn't known to be harmless.
const maxExposed = 2

// ExposureLimit bounds the targets that a request may run on. All nodes that know
// the same targets come to the same few, so that a request which crashes its
// targets can't reach more of them, however many nodes send it at once. The
// zero ExposureLimit bounds nothing.
type ExposureLimit struct {
	// Fingerprint identifies the request over its resends. Zero means that it
	// is known to be harmless.
	Fingerprint uint64
	// Crashed lists the addresses of targets that crashed, or may have, while
	// they ran the request. Each takes one place of its failure domain.
	Crashed []string
}

// Allows reports whether a target is among those that may run the request.
func (c ExposureLimit) Allows(targets []Target, address string) bool {
	if slices.Contains(c.Crashed, address) {
		// It costs no further target to run the request here again.
		return true
	}
	states := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		states = append(states, &targetState{Target: t, hash: hashAddress(t.Address)})
	}
	open := slices.DeleteFunc(slices.Clone(states), func(s *targetState) bool { return s.Leaving })
	allowed := c.filter(open, states)
	return slices.ContainsFunc(allowed, func(s *targetState) bool { return s.Address == address })
}

func hashAddress(address string) uint64 {
	return xxhash.Sum64String(address)
}

// weight orders the targets for a request by rendezvous hashing.
func (c ExposureLimit) weight(s *targetState) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], c.Fingerprint)
	binary.LittleEndian.PutUint64(b[8:], s.hash)
	return xxhash.Sum64(b[:])
}

// exposure holds the targets of one failure domain that may run a request, the
// one with the highest weight first.
type exposure struct {
	domain  string
	targets [maxExposed]*targetState
	weights [maxExposed]uint64
}

// offer takes a target in if its weight is among the highest.
func (x *exposure) offer(s *targetState, weight uint64) {
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

// filter returns those of the candidates that may run the request. Known are
// all targets of the service. A target that crashed is left to the others, and
// comes back only if there are none.
func (c ExposureLimit) filter(candidates, known []*targetState) []*targetState {
	if c.Fingerprint == 0 {
		return candidates
	}
	var exposures []exposure
	var crashed, allowed []*targetState
	for _, s := range candidates {
		if slices.Contains(c.Crashed, s.Address) {
			crashed = append(crashed, s)
			continue
		}
		i := slices.IndexFunc(exposures, func(x exposure) bool { return x.domain == s.FailureDomain })
		if i < 0 {
			i = len(exposures)
			exposures = append(exposures, exposure{domain: s.FailureDomain})
		}
		exposures[i].offer(s, c.weight(s))
	}
	for _, x := range exposures {
		allowed = append(allowed, x.first(maxExposed-c.crashedIn(x.domain, known))...)
	}
	if len(allowed) == 0 {
		return crashed
	}
	return allowed
}

// crashedIn counts the crashes in a failure domain. That of a target which is
// gone isn't known, so it counts in each.
func (c ExposureLimit) crashedIn(domain string, known []*targetState) int {
	n := 0
	for _, address := range c.Crashed {
		i := slices.IndexFunc(known, func(s *targetState) bool { return s.Address == address })
		if i < 0 || known[i].FailureDomain == domain {
			n++
		}
	}
	return n
}

// first returns the targets with the highest weights, at most n.
func (x *exposure) first(n int) []*targetState {
	var out []*targetState
	for _, s := range x.targets[:max(n, 0)] {
		if s != nil {
			out = append(out, s)
		}
	}
	return out
}
