package wharfmemnet

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ragwortwharf.dev/wharf/wharfsocket"
)

// RunInBubble runs a test on a clock of its own and a network in memory, so that the load of
// the machine doesn't change how long anything takes. The test must not be parallel, because
// the network is replaced in the whole process.
func RunInBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	defer wharfsocket.Replace(&Network{})()
	// The first call starts goroutines of the runtime, which must not belong to the bubble.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	synctest.Test(t, test)
}

// NewServer starts a server on the network in use. It ends with the test.
func NewServer(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	l, err := wharfsocket.ListenForReaders(t.Context(), "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: h, ReadHeaderTimeout: setupTimeout}}
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// Client returns a client on the network in use. On a network in memory it keeps no
// connections, whose goroutines would belong to the bubble of one test.
func Client() *http.Client {
	if wharfsocket.Replacement() == nil {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: wharfsocket.Plain(setupTimeout)}}
}

// setupTimeout bounds the connection setup of a client, and the head of a request to a server.
const setupTimeout = 30 * time.Second
