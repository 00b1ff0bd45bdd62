package wharfserver

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestRestartWithoutDirectoryIsFound guards against a restarted node that stays
// unknown because it has no seeds and the log is down. The other nodes must
// find it and its target.
func TestRestartWithoutDirectoryIsFound(t *testing.T) {
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
