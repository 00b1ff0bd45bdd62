package wharfcluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfmember"
)

// TestRevisitsDoNotGrowWithTheMesh counts how often an ended node is asked in a
// round by all nodes together.
func TestRevisitsDoNotGrowWithTheMesh(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	ended := wharfmember.Member{Node: "ended", State: wharfmember.Left}
	for _, nodes := range []int{16, 1000, 17000} {
		asked := 0
		for range nodes {
			var d departedNodes
			d.record(now, []wharfmember.Member{ended})
			asked += len(d.due(now, rng, nodes))
		}
		is.True(asked >= 1)
		is.True(asked <= 3*reprobeRate)
	}
}

func TestDeparturesEnd(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var d departedNodes
	d.record(now, []wharfmember.Member{{Node: "a", State: wharfmember.Down}, {Node: "b", State: wharfmember.Alive}})
	is.Equal(len(d.due(now, rng, 1)), 1)
	d.record(now, []wharfmember.Member{{Node: "a", State: wharfmember.Alive}}) // it is back
	is.Equal(len(d.due(now, rng, 1)), 0)
	for i := range 2 * maxDepartedNodes {
		d.record(now, []wharfmember.Member{{Node: fmt.Sprint(i), State: wharfmember.Left}})
	}
	is.Equal(len(d.due(now, rng, 1)), maxDepartedNodes)
	is.Equal(len(d.due(now.Add(reprobeWindow), rng, 1)), 0)
}
