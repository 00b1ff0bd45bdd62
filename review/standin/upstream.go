package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	id, instance, service, caller, uri string
	began                              time.Time
}

// upstream is a stand-in for an upstream. It announces itself until it leaves.
type upstream struct {
	m        *machine
	instance string
	service  string
	born     int64
	capacity int
	// work is how long a request takes.
	work time.Duration
	// headers are added to each response.
	headers map[string]string

	server *http.Server

	mu       sync.Mutex
	sequence int
	state    string
	silent   bool
	stopped  bool
}

// newUpstream starts an upstream of a service beside the node of a machine.
func (t *test) newUpstream(m *machine, instance, service string, capacity int, work time.Duration) *upstream {
	u := t.newQuietUpstream(m, instance, service, capacity, work)
	go u.loop()
	return u
}

// newQuietUpstream starts an upstream that sends no heartbeats of its own.
func (t *test) newQuietUpstream(m *machine, instance, service string, capacity int, work time.Duration) *upstream {
	u := &upstream{
		m: m, instance: instance, service: service, born: time.Now().UnixMilli(), capacity: capacity,
		work: work, headers: map[string]string{}, state: "ready",
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", m.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.must(err)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	return u
}

// loop sends heartbeats, the first ones at once until one is acknowledged.
func (u *upstream) loop() {
	for {
		u.mu.Lock()
		stopped, silent := u.stopped, u.silent
		u.mu.Unlock()
		if stopped {
			return
		}
		pause := heartbeatMs * time.Millisecond
		if !silent && u.beat() != http.StatusOK {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// next returns the next heartbeat.
func (u *upstream) next() beat {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return beat{instance: u.instance, service: u.service, state: u.state, born: u.born, sequence: u.sequence, capacity: u.capacity}
}

func (u *upstream) beat() int { return u.m.put(u.next()) }

func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// setSilent stops the heartbeats, or lets them go on.
func (u *upstream) setSilent(silent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = silent
}

// setHeader adds a header to each response from now on.
func (u *upstream) setHeader(key, value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.headers[key] = value
}

// end ends the process of the upstream: its connections break and its port closes.
func (u *upstream) end() {
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	u.m.t.record("upstream %s ends", u.instance)
	_ = u.server.Close()
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name("request-id"))
	w.Header().Set(name("request-id"), id)
	u.mu.Lock()
	for key, value := range u.headers {
		w.Header().Set(key, value)
	}
	u.mu.Unlock()
	if expect := r.Header.Get(name("expect")); expect != "" && expect != u.instance {
		u.m.t.record("misdirected %s at %s, expects %s", id, u.instance, expect)
		w.Header().Set(name("not-executed"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.m.t.ran(run{
		id: id, instance: u.instance, service: u.service, caller: r.Header.Get(name("caller")),
		uri: r.RequestURI, began: time.Now(),
	})
	_, _ = io.Copy(io.Discard, r.Body)
	deadline := u.work
	if ms, err := strconv.Atoi(r.Header.Get(name("deadline"))); err == nil {
		deadline = min(deadline, time.Duration(ms)*time.Millisecond)
	}
	select {
	case <-time.After(deadline):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(name("seal"), "seal-"+u.instance)
	_, _ = fmt.Fprintf(w, "answer to %s by %s\n", id, u.instance)
}

// client sends requests of the clients on a machine.
type client struct {
	m  *machine
	tr *http.Transport
}

func newClient(m *machine) *client {
	return &client{m: m, tr: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// newPoolClient returns a client that keeps its connections.
func newPoolClient(m *machine) *client {
	return &client{m: m, tr: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200, IdleConnTimeout: 5 * time.Second}}
}

// answer is the answer to a request of a client. The status is zero if the connection ended.
type answer struct {
	id, route, instance string
	sent, ended         time.Time
	status              int
	// kept is true if the connection was kept from an earlier request.
	kept bool
}

// send sends one request, as one client attempt with an id of its own.
func (c *client) send(method, host, uri string, body io.Reader, deadline time.Duration) answer {
	return c.sendAs(c.m.t.newID(), method, host, uri, body, deadline)
}

// upload sends a body of some length, which repeats the id of the request.
func (c *client) upload(host, uri string, length int, deadline time.Duration) answer {
	id := c.m.t.newID()
	body := strings.Repeat(id, length/len(id)+1)[:length]
	return c.sendAs(id, http.MethodPost, host, uri, strings.NewReader(body), deadline)
}

func (c *client) sendAs(id, method, host, uri string, body io.Reader, deadline time.Duration) answer {
	t := c.m.t
	a := answer{id: id, route: host + uri, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+c.m.outbound+"/", body)
	t.must(err)
	r.URL.Opaque = uri
	r.GetBody = nil
	r.Host = host
	r.Header.Set(name("request-id"), a.id)
	r.Header.Set(name("deadline"), strconv.FormatInt(deadline.Milliseconds(), 10))
	t.sent(a, c.m.name)
	response, err := c.tr.RoundTrip(r)
	if err == nil {
		a.status = response.StatusCode
		a.instance = response.Header.Get(name("seal"))
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			a.status = 0
		}
		_ = response.Body.Close()
	}
	a.ended = time.Now()
	t.answered(a)
	return a
}
