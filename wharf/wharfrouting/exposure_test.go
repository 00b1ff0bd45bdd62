package wharfrouting

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

// spreadTargets returns targets in turn over failure domains.
func spreadTargets(n, domains int) []Target {
	targets := someTargets(n)
	for i := range targets {
		targets[i].FailureDomain = fmt.Sprint("d", i%domains)
	}
	return targets
}

// exposedTargets sends one request from many nodes and returns the most targets
// of one failure domain that it reached. Each node knows the targets in an
// order of its own, and has met other loads. A target that ran the request may
// have crashed and be gone for all who know of it.
func exposedTargets(t *rapid.T, fingerprint uint64) int {
	targets := spreadTargets(rapid.IntRange(1, 12).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "domains"))
	reached, crashed := map[string]string{}, []string(nil)
	for i := range rapid.IntRange(1, 20).Draw(t, "sends") {
		present := rapid.Permutation(targets).Draw(t, "order")
		c := ExposureLimit{Fingerprint: fingerprint}
		if fingerprint != 0 && rapid.Bool().Draw(t, "knows of crash") {
			c.Crashed = crashed
			present = without(present, crashed)
		}
		b := NewBalancer(home)
		b.SetTargets(epoch, present)
		for j := range present {
			b.states[j].inFlight = rapid.IntRange(0, 9).Draw(t, "load")
		}
		target, reason := b.Pick(epoch, newRand(), Request{ExposureLimit: c})
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

func without(targets []Target, addresses []string) []Target {
	var out []Target
	for _, t := range targets {
		gone := false
		for _, a := range addresses {
			gone = gone || a == t.Address
		}
		if !gone {
			out = append(out, t)
		}
	}
	return out
}

func TestConfinedRequestReachesTwoTargetsOfADomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fingerprint := rapid.Uint64Min(1).Draw(t, "fingerprint")
		if n := exposedTargets(t, fingerprint); n > maxExposed {
			t.Fatalf("%d targets of one failure domain", n)
		}
	})
}

// TestUnconfinedRequestReachesMore shows that the property above has teeth.
func TestUnconfinedRequestReachesMore(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		worst = max(worst, exposedTargets(t, 0))
	})
	is.New(t).True(worst > maxExposed)
}

// TestConfinementSpreadsLoad sends requests that are all different: each target
// gets its share.
func TestConfinementSpreadsLoad(t *testing.T) {
	is := is.New(t)
	b := NewBalancer(home)
	const targets, requests = 9, 9000
	b.SetTargets(epoch, spreadTargets(targets, 1))
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

// TestCrashedTargetIsTheLastChoice lets a suspect go elsewhere, and back where it
// crashed only if there is nowhere else.
func TestCrashedTargetIsTheLastChoice(t *testing.T) {
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

func TestConfinementAllows(t *testing.T) {
	tests := []struct {
		name        string
		targets     int
		confinement ExposureLimit
		want        int
	}{
		{"no bound", 5, ExposureLimit{}, 5},
		{"two of five", 5, ExposureLimit{Fingerprint: 7}, 2},
		{"a crashed one and one beside", 5, ExposureLimit{Fingerprint: 7, Crashed: []string{"t3"}}, 2},
		{"one beside a crashed one that is gone", 5, ExposureLimit{Fingerprint: 7, Crashed: []string{"gone"}}, 1},
		{"two crashed ones", 5, ExposureLimit{Fingerprint: 7, Crashed: []string{"t3", "t4"}}, 2},
		{"the only target, crashed", 1, ExposureLimit{Fingerprint: 7, Crashed: []string{"t0"}}, 1},
		{"the only target", 1, ExposureLimit{Fingerprint: 7}, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			targets := someTargets(tc.targets)
			allowed := 0
			for _, target := range targets {
				if tc.confinement.Allows(targets, target.Address) {
					allowed++
				}
			}
			is.Equal(allowed, tc.want)
		})
	}
	t.Run("crash in another failure domain", func(t *testing.T) {
		is := is.New(t)
		targets := spreadTargets(8, 2)
		c := ExposureLimit{Fingerprint: 7, Crashed: []string{targets[0].Address}}
		allowed := map[string]int{}
		for _, target := range targets {
			if c.Allows(targets, target.Address) {
				allowed[target.FailureDomain]++
			}
		}
		is.Equal(allowed["d0"], 2)
		is.Equal(allowed["d1"], 2)
	})
}

func BenchmarkPickConfined(b *testing.B) {
	balancer := newTestBalancer(9)
	rng := newRand()
	b.ReportAllocs()
	for b.Loop() {
		t, _ := balancer.Pick(epoch, rng, Request{Route: "x", ExposureLimit: ExposureLimit{Fingerprint: 7}})
		balancer.Observe(epoch, t.Address, "x", Answered, 0, nil)
	}
}
