package wharfserver

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfwire"
)

// TestCallerContract sends each kind of invalid request that a caller may send.
// It checks status and reason of the response, and that the node still serves a
// good request afterwards.
func TestCallerContract(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	c.startTarget(n, "schedules", hello)
	id := strings.Repeat("0", 32)
	tests := []struct {
		name   string
		send   request
		status int
		reason string
	}{
		{"good request", request{service: "schedules"}, 200, ""},
		{"missing service", request{}, 400, "missing-service"},
		{"unknown service", request{service: "nobody"}, 404, "unknown-service"},
		{"malformed context", request{service: "schedules", headers: [][2]string{{wharfwire.HeaderContext, "x"}}}, 400, "malformed-context"},
		// The fields of the context are version, request id, grant, depth and
		// attempts. The node's ledger holds no grant 7, as after the end of a call.
		{"context of an ended call", request{service: "schedules", headers: [][2]string{{wharfwire.HeaderContext, "1-" + id + "-7-1-9"}}}, 503, "attempts-spent"},
		{"negative timeout", request{service: "schedules", headers: [][2]string{{wharfwire.HeaderTimeout, "-5"}}}, 400, "malformed-timeout"},
		{"timeout that isn't a number", request{service: "schedules", headers: [][2]string{{wharfwire.HeaderTimeout, "soon"}}}, 400, "malformed-timeout"},
		{"oversized key", request{service: "schedules", method: "POST", key: strings.Repeat("k", 300)}, 400, "malformed-key"},
		{"oversized header", request{service: "schedules", headers: [][2]string{{"X-Big", strings.Repeat("x", 1<<17)}}}, 431, ""},
		{"good request after the invalid ones", request{service: "schedules"}, 200, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := n.send(tc.send)
			is.NoErr(got.err)
			is.Equal(got.status, tc.status)
			is.Equal(got.reason, tc.reason)
			if tc.status != 200 && tc.reason != "" {
				is.Equal(got.outcome, "not-run")
			}
		})
	}
}

// TestTruncatedRequestBodyIsNotDispatched guards against the dispatch of an
// incomplete request. The caller closes its side of the connection after 4 of
// 10 bytes of the body.
func TestTruncatedRequestBodyIsNotDispatched(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	var e effects
	c.startTarget(n, "schedules", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.add("arrived")
		hello(w, r)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.caller, "http://"))
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\n%s: schedules\r\nContent-Length: 10\r\n\r\nhalf", wharfwire.HeaderService)
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_ = response.Body.Close()
	_ = conn.Close()
	is.Equal(response.StatusCode, 400)
	is.Equal(response.Header.Get(wharfwire.HeaderReason), "body-incomplete")
	is.Equal(e.get("arrived"), 0)
}

// TestHTTP2Caller checks that a node serves callers over unencrypted HTTP/2.
func TestHTTP2Caller(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	c.startTarget(n, "schedules", hello)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13}}}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, n.caller, http.NoBody)
	is.NoErr(err)
	r.Header.Set(wharfwire.HeaderService, "schedules")
	response, err := client.Do(r)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.Proto, "HTTP/2.0")
	is.Equal(string(body), "hello")
}

// TestBodySizes sends and receives bodies below and above the sizes of a chunk
// and of the buffers that hold a body in memory.
func TestBodySizes(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	c.startTarget(n, "echo", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = w.Write(body)
		}
	})
	for _, size := range []int{0, 1, wharfwire.ChunkSize, 64 << 10, 64<<10 + 1, 256<<10 + 1, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("abcdefghij", size/10+1)[:size]
			got := n.send(request{method: "PUT", service: "echo", body: body})
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.True(got.body == body)
		})
	}
}

// TestTruncatedResponseIsNotComplete guards against a truncated response that
// looks complete to the caller. The target aborts its response after half of
// the body.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	size := 0
	known := true
	c.startTarget(n, "cut", func(w http.ResponseWriter, _ *http.Request) {
		if known {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	tests := []struct {
		name  string
		size  int
		known bool
	}{
		{"short, length known", 1000, true},
		{"short, length unknown", 1000, false},
		{"long, length known", 2 << 20, true},
		{"long, length unknown", 2 << 20, false},
	}
	for i, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			size, known = tc.size, tc.known
			got := n.send(request{method: "POST", service: "cut", path: fmt.Sprint(i)})
			if got.err == nil && got.status == 200 {
				t.Fatalf("%d of %d bytes returned as a complete response", len(got.body), tc.size)
			}
			if got.err == nil {
				is.New(t).Equal(got.outcome, "unknown")
			}
		})
	}
}

// TestEachCallerGetsItsOwnResponse guards against mixed-up responses when many
// requests run concurrently.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	c := newTestCluster(t)
	n := c.startNode("domain-a")
	c.startTarget(n, "echo", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})
	const callers = 200
	mismatches := make(chan string, callers)
	for i := range callers {
		go func() {
			path := fmt.Sprint("/own/", i)
			got := n.send(request{service: "echo", path: path})
			if got.status == 200 && got.body != path {
				mismatches <- fmt.Sprintf("%s got %q", path, got.body)
				return
			}
			mismatches <- ""
		}()
	}
	for range callers {
		if mismatch := <-mismatches; mismatch != "" {
			t.Error(mismatch)
		}
	}
}
