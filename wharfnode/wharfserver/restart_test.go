package wharfserver

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// TestRestartWithoutDirectoryIsFound has a node start again that can ask nobody
// where the others are. They have to find it, with its target.
func TestRestartWithoutDirectoryIsFound(t *testing.T) {
	is := is.New(t)
	m := newMesh(t)
	n, other := m.start("domain-a"), m.start("domain-b")
	m.start("domain-a")
	server := m.serve(n, "work", func(http.ResponseWriter, *http.Request) {})
	is.Equal(other.send(request{service: "work"}).status, http.StatusOK)
	m.log.down.Store(true)
	n = m.restart(n)
	m.announce(n, "work", strings.TrimPrefix(server.URL, "http://"))
	wharftest.Eventually(t, "the node's target serves again", func() bool {
		return other.send(request{service: "work"}).status == http.StatusOK
	})
}
