package wharfserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfsocket/wharfmemnet"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// responseOf returns a handler that responds with a body of a size.
func responseOf(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("0123456789", size/10))
	}
}

// get sends a request for a service on a connection.
func get(t *testing.T, conn net.Conn, service string, timeout time.Duration) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %d\r\n\r\n", wharfwire.HeaderService, service, wharfwire.HeaderTimeout, timeout.Milliseconds())
	if err != nil {
		t.Fatal(err)
	}
}

// TestSlowCallerGetsWholeResponse guards against a response that a caller loses because it
// reads slowly, though in time. The network is that of the kernel.
func TestSlowCallerGetsWholeResponse(t *testing.T) {
	const (
		size    = 20_000
		timeout = 10 * time.Second
	)
	tests := []struct {
		name string
		// before is the pause before the caller reads, and between the pause after each part.
		before, between time.Duration
		part            int
	}{
		{"reads nothing for a while", 3500 * time.Millisecond, 0, size},
		{"reads a little at a time", 0, 100 * time.Millisecond, 512},
	}
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	c.startTarget(n, "sheets", responseOf(size))
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			// The kernel receives little ahead, so that it tells the node not to send.
			d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
			}}
			conn, err := d.DialContext(t.Context(), "tcp", strings.TrimPrefix(n.caller, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			for range 2 {
				get(t, conn, "sheets", timeout)
				time.Sleep(tc.before)
				response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
				is.NoErr(err)
				total := int64(0)
				for err == nil {
					var read int64
					read, err = io.CopyN(io.Discard, response.Body, int64(tc.part))
					total += read
					time.Sleep(tc.between)
				}
				is.Equal(err, io.EOF)
				is.Equal(total, int64(size))
			}
		})
	}
}

// TestSlowCallerGetsLongResponseOfAnotherNode guards against the same, where the caller's node
// can't hold the response and so reads as slowly from the node of the target.
func TestSlowCallerGetsLongResponseOfAnotherNode(t *testing.T) {
	const (
		size    = 24 << 20
		timeout = 10 * time.Second
	)
	is := is.New(t)
	c := newTestCluster(t)
	n, other := c.startNode("domain-a"), c.startNode("domain-a")
	c.startTarget(other, "sheets", responseOf(size))
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.caller, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	get(t, conn, "sheets", timeout)
	time.Sleep(3500 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	total, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(total, int64(size/10*10))
}

// TestCallerThatStopsReadingIsGivenUp guards against responses that are held for callers who
// have stopped reading or were lost, and against a next response that the bound for an earlier one
// cuts.
func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
	wharfmemnet.RunInBubble(t, func(t *testing.T) {
		const (
			size    = 8 << 20
			timeout = time.Second
			// bound is the deadline and the time that a caller has to read after it.
			bound = timeout + 3*time.Second
		)
		is := is.New(t)
		c := newTestCluster(t)
		n := c.startNode("domain-a")
		c.startTarget(n, "sheets", responseOf(size))
		c.startTarget(n, "reads", hello)
		for range 5 {
			conn, err := wharfsocket.Plain(bound)(t.Context(), "tcp", strings.TrimPrefix(n.caller, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			get(t, conn, "sheets", timeout)
		}
		wharftest.Eventually(t, "requests are in flight", func() bool { return n.proxy.InFlight() > 0 })
		started := time.Now()
		wharftest.Eventually(t, "no request is in flight", func() bool { return n.proxy.InFlight() == 0 })
		is.True(time.Since(started) < bound)

		conn, err := wharfsocket.Plain(bound)(t.Context(), "tcp", strings.TrimPrefix(n.caller, "http://"))
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, service := range []string{"reads", "nobody", "reads"} {
			get(t, conn, service, timeout)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			time.Sleep(2 * bound)
		}
	})
}
