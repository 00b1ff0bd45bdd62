package wharfcluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfmember"
)

// TestReprobesDoNotGrowWithNodeCount guards against a load on a departed node's
// address that grows with the number of nodes. It counts the probes that all
// nodes together send in one round.
func TestReprobesDoNotGrowWithNodeCount(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	departed := wharfmember.Member{Node: "ended", State: wharfmember.Left}
	for _, nodes := range []int{16, 1000, 17000} {
		probes := 0
		for range nodes {
			var d departedNodes
			d.record(now, []wharfmember.Member{departed})
			probes += len(d.due(now, rng, nodes))
		}
		is.True(probes >= 1)
		is.True(probes <= 3*reprobeRate)
	}
}

// TestDepartedNodesExpire guards against probes that never end: a departed node is
// no longer probed once it is alive again or reprobeWindow is over, and the list
// is bounded.
func TestDepartedNodesExpire(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var d departedNodes
	d.record(now, []wharfmember.Member{{Node: "a", State: wharfmember.Down}, {Node: "b", State: wharfmember.Alive}})
	is.Equal(len(d.due(now, rng, 1)), 1)
	d.record(now, []wharfmember.Member{{Node: "a", State: wharfmember.Alive}}) // restarted
	is.Equal(len(d.due(now, rng, 1)), 0)
	for i := range 2 * maxDepartedNodes {
		d.record(now, []wharfmember.Member{{Node: fmt.Sprint(i), State: wharfmember.Left}})
	}
	is.Equal(len(d.due(now, rng, 1)), maxDepartedNodes)
	is.Equal(len(d.due(now.Add(reprobeWindow), rng, 1)), 0)
}
