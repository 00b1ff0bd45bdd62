package wharfview

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfmember"
)

// TestGossipPeersDiffer guards against a round that calls one node twice, so that a change
// reaches another node only with a later round.
func TestGossipPeersDiffer(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		// want is the number of peers of a round in a single failure domain.
		want int
	}{
		{"alone", 1, 0},
		{"one other node", 2, 1},
		{"two other nodes", 3, 2},
		{"more nodes than monitored ones", 20, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			view := New(wharfmember.Member{Node: "n00", FailureDomain: "d"})
			for i := range tc.nodes {
				view.Merge([]wharfmember.Member{{Node: fmt.Sprintf("n%02d", i), FailureDomain: "d"}})
			}
			rng := rand.New(rand.NewPCG(1, 2))
			for round := range 100 {
				peers := view.GossipPeers(round, rng)
				is.Equal(len(peers), tc.want)
				is.True(len(peers) < 2 || peers[0].Node != peers[1].Node)
			}
		})
	}
}
