package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id string
	// sent and ended are the times at which the request was sent and the attempt ended.
	sent, ended time.Time
	status      int
	// kept is true if the connection had carried an answer before.
	kept bool
	err  error
}

// caller is a client on a machine that keeps its connection for many requests, and sends them
// one after the other.
type caller struct {
	machine *machine
	method  string
	host    string
	// path is that of all requests, unless nextPath gives one for each.
	path     string
	nextPath func(id string) string
	// deadline is how long the client waits, and pause the time between two requests.
	deadline, pause time.Duration
	body            string

	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// send sends one request and waits for its answer.
func (c *caller) send(id string) answer {
	a := answer{id: id, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.addr(portOut), time.Second)
		if err != nil {
			a.err = fmt.Errorf("connect: %w", err)
			return a
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	a.kept = c.used
	n := c.machine.world.names
	request := c.method + " " + c.path + " HTTP/1.1\r\nHost: " + c.host + "\r\n" + n["request-id"] + ": " + id + "\r\n" +
		n["deadline"] + ": " + strconv.FormatInt(c.deadline.Milliseconds(), 10) + "\r\n"
	if c.method == http.MethodPost {
		request += "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := io.WriteString(c.conn, request+"\r\n"+c.body); err != nil {
		a.err = err
		c.close()
		return a
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, c.used = response.StatusCode, true
	if response.Close {
		c.close()
	}
	return a
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// run sends requests until the context ends, and passes the answers on.
func (c *caller) run(ctx context.Context, group *sync.WaitGroup, done func(c *caller, a answer)) {
	defer group.Done()
	defer c.close()
	for ctx.Err() == nil {
		id := c.machine.world.newID()
		if c.nextPath != nil {
			c.path = c.nextPath(id)
		}
		c.machine.world.note("send %s to %s %s %s%s", id, c.machine.name, c.method, c.host, c.path)
		a := c.send(id)
		if a.err != nil {
			c.machine.world.note("end %s after %.3f s, kept %t: %v", id, a.ended.Sub(a.sent).Seconds(), a.kept, a.err)
		} else {
			c.machine.world.note("answer %s after %.3f s: %d", id, time.Since(a.sent).Seconds(), a.status)
		}
		done(c, a)
		// The jitter keeps the callers out of step.
		time.Sleep(c.pause/2 + time.Duration(rand.Int64N(int64(c.pause))))
	}
}
