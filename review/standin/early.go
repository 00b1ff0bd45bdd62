package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["early"] = playEarly }

// earlyShare is the share of the long requests that an upstream rejects before they are in.
const earlyShare = 0.4

// longRequest is the length of a body, in bytes, from which a request is long.
const longRequest = 20_000

// earlyUpstream is an upstream that rejects some requests before it has read their bodies, keeps the
// connection and reads on.
type earlyUpstream struct {
	*upstream
	l     net.Listener
	early atomic.Bool
	count atomic.Int64
	// wrong counts the bodies that had other bytes than the client sent.
	wrong atomic.Int64
}

func (e *earlyUpstream) serve() {
	for {
		conn, err := e.l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *earlyUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(name("request-id"))
		status, body, extra := "200 OK", "answer to "+id, name("seal")+": s"
		early := r.ContentLength >= longRequest && e.early.Load() && rand.Float64() < earlyShare
		if early {
			e.count.Add(1)
			status, body, extra = "503 Service Unavailable", "rejected", name("not-executed")+": 1"
		} else if err := e.readBody(id, r.Body); err != nil {
			return
		} else {
			e.m.t.ran(run{id: id, instance: e.instance, service: e.service, caller: r.Header.Get(name("caller")), uri: r.RequestURI, began: time.Now()})
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, name("request-id"), id, extra, len(body), body); err != nil {
			return
		}
		if err := e.readBody(id, r.Body); err != nil {
			return
		}
	}
}

// readBody reads the rest of a body, which repeats the id of its request, and compares it with that.
func (e *earlyUpstream) readBody(id string, body io.Reader) error {
	data, err := io.ReadAll(body)
	for i, b := range data {
		if b != id[i%len(id)] {
			e.wrong.Add(1)
			e.m.t.record("UNASKED: other bytes at %d of the body of %s at %s: %.24q", i, id, e.instance, data[i:])
			break
		}
	}
	return err
}

// Doses of the disruption, and the load.
const (
	earlyFor     = 6 * time.Second
	earlyPause   = 2 * time.Second
	earlyRounds  = 8
	earlyFronts  = 4
	earlyBacks   = 3
	earlyFaulty  = 2
	uploadsASec  = 50
	readsASec    = 50
	uploadLength = 60_000
)

// playEarly lets upstreams reject long requests before they are in. The processes of the nodes must
// go on, and the clients of their machines must get answers on the connections that they keep.
func playEarly(t *test) bool {
	for range earlyFronts {
		t.newMachine("z1", "front")
	}
	for range earlyBacks {
		t.newMachine("z1", "intake")
	}
	t.newMachine("z1", "board")
	t.store.putConfig(config(1,
		route{"upload", "h.example", "/up/", "upload", "intake", 5 * time.Second},
		route{"board", "h.example", "/board/", "safe", "board", 5 * time.Second}))
	t.startAll()
	intake, board := t.machines[earlyFronts:earlyFronts+earlyBacks], t.machines[earlyFronts+earlyBacks]
	var upstreams []*earlyUpstream
	for _, m := range intake {
		u := &upstream{m: m, instance: "i-" + m.name, service: m.service, born: time.Now().UnixMilli(), capacity: 200, state: "ready"}
		e := &earlyUpstream{upstream: u}
		var err error
		e.l, err = net.Listen("tcp", m.app)
		t.must(err)
		go e.serve()
		go e.loop()
		upstreams = append(upstreams, e)
	}
	t.newUpstream(board, "i-board", "board", 200, 200*time.Millisecond)
	t.awaitAll()
	time.Sleep(4 * time.Second)
	var stops []func()
	for _, m := range t.machines[:earlyFronts] {
		stops = append(stops, t.load(newPoolClient(m), uploadsASec, func(c *client) {
			size := uploadLength/3 + rand.IntN(uploadLength*4/3)
			c.upload("h.example", "/up/x", size, 3*time.Second)
		}))
	}
	for _, m := range intake {
		stops = append(stops, t.load(newPoolClient(m), readsASec, func(c *client) {
			c.send(http.MethodGet, "h.example", "/board/x", nil, 3*time.Second)
		}))
	}
	stopRestarts := t.restartEnded()
	for range earlyRounds {
		time.Sleep(earlyPause)
		t.setEarly(upstreams[:earlyFaulty], t.trouble)
		time.Sleep(earlyFor)
		t.setEarly(upstreams[:earlyFaulty], false)
	}
	stopRestarts()
	for _, stop := range stops {
		stop()
	}
	broken := false
	for _, e := range upstreams {
		t.say("requests that %s rejected early: %d, bodies with other bytes: %d", e.instance, e.count.Load(), e.wrong.Load())
		broken = broken || e.wrong.Load() > 0
	}
	for _, m := range t.machines {
		m.mu.Lock()
		ends := len(m.ends)
		m.mu.Unlock()
		if ends > 0 {
			t.say("processes of %s that ended by themselves: %d", m.name, ends)
		}
	}
	t.record("first crash: %s", t.panicText())
	return t.closedUnanswered() || broken
}

func (t *test) setEarly(upstreams []*earlyUpstream, early bool) {
	t.record("upstreams reject early: %v", early)
	for _, e := range upstreams {
		e.early.Store(early)
	}
}

// maxClosed is how many requests the rule lets pass.
const maxClosed = 3

// closedUnanswered reports whether too many requests to the sound upstream ran, and their
// connections, which the clients keep, ended without an answer.
func (t *test) closedUnanswered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := 0
	for id, runs := range t.runs {
		if a, ok := t.answers[id]; ok && a.status == 0 && a.kept && runs[0].service == "board" {
			closed++
			t.line("LOST: %s was passed on to %s, and its connection was closed without an answer", id, runs[0].instance)
		}
	}
	summary := fmt.Sprintf("requests passed on whose connections were closed without an answer: %d", closed)
	t.line("%s", summary)
	fmt.Println(summary)
	return closed > maxClosed
}
