package wharfrouting

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// targetsAcrossDomains returns n targets, assigned to the failure domains in turn.
func targetsAcrossDomains(n, domains int) []Target {
	targets := someTargets(n)
	for i := range targets {
		targets[i].FailureDomain = fmt.Sprint("d", i%domains)
	}
	return targets
}

// exposedTargets sends one request from many nodes. It returns the largest number
// of targets in one failure domain that the request reached. Each node has its
// own order of the targets and its own load on them. The first target that ran
// the request may have crashed; a node that knows about the crash no longer has
// this target in its list.
func exposedTargets(t *rapid.T, fingerprint uint64) int {
	targets := targetsAcrossDomains(rapid.IntRange(1, 12).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "domains"))
	reached, crashed := map[string]string{}, []string(nil)
	for i := range rapid.IntRange(1, 20).Draw(t, "sends") {
		present := rapid.Permutation(targets).Draw(t, "order")
		limit := ExposureLimit{Fingerprint: fingerprint}
		if fingerprint != 0 && rapid.Bool().Draw(t, "knows of crash") {
			limit.Crashed = crashed
			present = without(present, crashed)
		}
		b := NewBalancer(senderLocality)
		b.SetTargets(epoch, present)
		for j := range present {
			b.states[j].inFlight = rapid.IntRange(0, 9).Draw(t, "load")
		}
		target, reason := b.Pick(epoch, newRand(), Request{ExposureLimit: limit})
		if reason != wharfoutcome.ReasonNone {
			continue
		}
		reached[target.Address] = target.FailureDomain
		if i == 0 {
			crashed = append(crashed, target.Address)
		}
	}
	most := 0
	for _, domain := range reached {
		n := 0
		for _, other := range reached {
			if other == domain {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// without returns the targets whose address is not in the list.
func without(targets []Target, addresses []string) []Target {
	var out []Target
	for _, t := range targets {
		removed := false
		for _, a := range addresses {
			removed = removed || a == t.Address
		}
		if !removed {
			out = append(out, t)
		}
	}
	return out
}

// TestSuspectRequestReachesTwoTargetsPerDomain guards against a request that
// crashes its targets and takes down a whole failure domain, because each node
// sends it to other targets.
func TestSuspectRequestReachesTwoTargetsPerDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fingerprint := rapid.Uint64Min(1).Draw(t, "fingerprint")
		if n := exposedTargets(t, fingerprint); n > maxExposedPerDomain {
			t.Fatalf("request reached %d targets of one failure domain", n)
		}
	})
}

// TestRequestWithoutLimitReachesMore checks that the property test above can fail:
// without an exposure limit, a request reaches more targets.
func TestRequestWithoutLimitReachesMore(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		worst = max(worst, exposedTargets(t, 0))
	})
	is.New(t).True(worst > maxExposedPerDomain)
}

// TestExposureLimitBalancesLoad sends requests with different fingerprints. Each
// target must get between half and twice its equal share of them.
func TestExposureLimitBalancesLoad(t *testing.T) {
	is := is.New(t)
	b := NewBalancer(senderLocality)
	const targets, requests = 9, 9000
	b.SetTargets(epoch, targetsAcrossDomains(targets, 1))
	rng := newRand()
	got := map[string]int{}
	for range requests {
		target, reason := b.Pick(epoch, rng, Request{ExposureLimit: ExposureLimit{Fingerprint: rng.Uint64()}})
		is.Equal(reason, wharfoutcome.ReasonNone)
		got[target.Address]++
	}
	is.Equal(len(got), targets)
	for _, n := range got {
		is.True(n > requests/targets/2)
		is.True(n < requests/targets*2)
	}
}

// TestCrashedTargetIsPickedLast picks a target for a suspect request that crashed
// a target. The request must go to another target, and to the crashed one only if
// there is no other.
func TestCrashedTargetIsPickedLast(t *testing.T) {
	is := is.New(t)
	r := Request{ExposureLimit: ExposureLimit{Fingerprint: 7, Crashed: []string{"t0"}}}
	for n, want := range []string{1: "t0", 2: "t1"} {
		if want == "" {
			continue
		}
		target, reason := newTestBalancer(n).Pick(epoch, newRand(), r)
		is.Equal(reason, wharfoutcome.ReasonNone)
		is.Equal(target.Address, want)
	}
}

// TestExposureLimitAllows counts the targets that Allows accepts. A crashed target
// counts towards the limit of its own failure domain.
func TestExposureLimitAllows(t *testing.T) {
	tests := []struct {
		name    string
		targets int
		limit   ExposureLimit
		want    int
	}{
		{"no limit", 5, ExposureLimit{}, 5},
		{"two of five", 5, ExposureLimit{Fingerprint: 7}, 2},
		{"one crashed and one other", 5, ExposureLimit{Fingerprint: 7, Crashed: []string{"t3"}}, 2},
		{"one crashed and removed, one other", 5, ExposureLimit{Fingerprint: 7, Crashed: []string{"gone"}}, 1},
		{"two crashed", 5, ExposureLimit{Fingerprint: 7, Crashed: []string{"t3", "t4"}}, 2},
		{"only target, crashed", 1, ExposureLimit{Fingerprint: 7, Crashed: []string{"t0"}}, 1},
		{"only target", 1, ExposureLimit{Fingerprint: 7}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			targets := someTargets(tc.targets)
			allowed := 0
			for _, target := range targets {
				if tc.limit.Allows(targets, target.Address) {
					allowed++
				}
			}
			is.Equal(allowed, tc.want)
		})
	}
	t.Run("crash in another failure domain", func(t *testing.T) {
		is := is.New(t)
		targets := targetsAcrossDomains(8, 2)
		l := ExposureLimit{Fingerprint: 7, Crashed: []string{targets[0].Address}}
		allowed := map[string]int{}
		for _, target := range targets {
			if l.Allows(targets, target.Address) {
				allowed[target.FailureDomain]++
			}
		}
		is.Equal(allowed["d0"], 2)
		is.Equal(allowed["d1"], 2)
	})
}

func BenchmarkPickWithExposureLimit(b *testing.B) {
	balancer := newTestBalancer(9)
	rng := newRand()
	b.ReportAllocs()
	for b.Loop() {
		t, _ := balancer.Pick(epoch, rng, Request{Route: "x", ExposureLimit: ExposureLimit{Fingerprint: 7}})
		balancer.Observe(epoch, t.Address, "x", Responded, 0, nil)
	}
}
