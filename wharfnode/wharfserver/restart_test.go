package wharfserver

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestRestartedNodeWithoutSeedsIsFound guards against a restarted node that stays
// unknown to the other nodes. It has no seeds, so it doesn't join them, and the
// log is down. The other nodes must find it at its old address, and then its
// target.
func TestRestartedNodeWithoutSeedsIsFound(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n, other := c.startNode("domain-a"), c.startNode("domain-b")
	c.startNode("domain-a")
	server := c.startTarget(n, "work", func(http.ResponseWriter, *http.Request) {})
	is.Equal(other.send(request{service: "work"}).status, http.StatusOK)
	c.log.down.Store(true)
	n = c.restart(n)
	c.announce(n, "work", strings.TrimPrefix(server.URL, "http://"))
	wharftest.Eventually(t, "the node's target serves again", func() bool {
		return other.send(request{service: "work"}).status == http.StatusOK
	})
}
