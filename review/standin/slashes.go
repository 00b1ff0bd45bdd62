package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["slashes"] = playSlashes }

// playSlashes sends requests whose paths hold escaped characters. With trouble, some of the paths
// begin with two slashes.
func playSlashes(t *test) bool {
	a, b := t.newMachine("z1", "front"), t.newMachine("z1", "book")
	t.store.putConfig(config(1, route{"book", "h.example", "/", "unsafe", "book", 5 * time.Second}))
	t.startAll()
	t.newUpstream(b, "i-b0", "book", 20, 50*time.Millisecond)
	t.awaitAll()
	time.Sleep(3 * time.Second)
	uris := []string{"/routes%2Fnorth/7", "/stops/east%20hall?day=1%2F2", "/stops//east%20hall"}
	if t.trouble {
		uris = append(uris, "//routes%2Fnorth/7", "//stops/east%20hall?day=1%2F2")
	}
	paths := map[string]string{}
	for _, uri := range uris {
		id := t.newID()
		paths[id] = uri
		t.sent(answer{id: id, route: uri}, a.name)
		conn, err := net.Dial("tcp", a.outbound)
		t.must(err)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 4\r\nConnection: close\r\n\r\nslot",
			uri, name("request-id"), id, name("deadline"))
		t.must(err)
		data, _ := io.ReadAll(conn)
		_ = conn.Close()
		line, _, _ := strings.Cut(string(data), "\r\n")
		t.record("answer %s %s", id, line)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := 0
	for id, uri := range paths {
		for _, r := range t.runs[id] {
			if r.uri != uri {
				broken++
				t.line("UNASKED: %s was sent with path %s and ran with path %s", id, uri, r.uri)
			}
		}
	}
	fmt.Println("requests that ran with another path:", broken)
	return broken > 0
}
