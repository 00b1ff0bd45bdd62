package wharfcluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
)

// TestStaleNodeReadsInBoundedTime guards against a change that is in force late because the
// nodes that may read the log in place of the readers happen not to, again and again.
func TestStaleNodeReadsInBoundedTime(t *testing.T) {
	for _, nodes := range []int{1, 3, 16} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bound := staleMargin + time.Duration(nodes)*staleReadInterval + roleInterval
				for seed := range uint64(500) {
					a := &Agent{View: wharfview.New(wharfmember.Member{Node: "n00", FailureDomain: "d"})}
					for i := range nodes {
						a.View.Merge([]wharfmember.Member{{Node: fmt.Sprintf("n%02d", i), FailureDomain: "d"}})
					}
					started := time.Now()
					a.View.Confirm(0, started)
					applyRoutes(t, a.View, 1)
					f := &follower{agent: a, rng: rand.New(rand.NewPCG(seed, 1))}
					for !f.due() {
						time.Sleep(f.interval())
					}
					is.New(t).True(time.Since(started) <= bound)
				}
			})
		})
	}
}
