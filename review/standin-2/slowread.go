package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowAnswer is what a client got that reads slowly.
type slowAnswer struct {
	status, bytes int
	took          time.Duration
	err           error
}

// playSlowRead lets clients read their answers slowly, but well within their deadlines. Their
// connections have small windows, and have carried an answer before.
func playSlowRead(w *world) (int, error) {
	const (
		window    = 4096
		bodyBytes = 20_000
		readPause = 150 * time.Millisecond
		deadline  = 10 * time.Second
		clients   = 4
		rounds    = 3
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := w.startStore("127.36.0"); err != nil {
		return notRun, err
	}
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "unsafe", timeoutMs: 10_000, service: "svc-a"}
	w.setConfig(w.configuration(1, []route{first}, []string{"svc-a"}))
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		m := w.add(zone, "svc-a", 284, 100, 50*time.Millisecond)
		m.up.body = []byte(strings.Repeat("x", bodyBytes))
	}
	if err := w.startAll(ctx); err != nil {
		return notRun, err
	}
	time.Sleep(2 * contactTime)
	pause := time.Duration(0)
	if w.trouble {
		pause = readPause
	}
	var (
		mu               sync.Mutex
		group            sync.WaitGroup
		sent, whole, cut int
	)
	for _, m := range w.machines {
		for range clients {
			group.Go(func() {
				for range rounds {
					id, a := w.readSlowly(m, first, window, pause, deadline)
					ran := w.runsOf(id)
					w.note("answer %s after %.3f s: status %d, %d of %d bytes, ran %d times, %v", id, a.took.Seconds(), a.status, a.bytes, bodyBytes, ran, a.err)
					mu.Lock()
					sent++
					switch {
					case a.err == nil && a.bytes == bodyBytes:
						whole++
					case ran > 0:
						cut++
					}
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	w.say("%d requests sent on kept connections, %d answered whole; %d passed on, and the connection ended before the whole answer", sent, whole, cut)
	if cut > 3 {
		w.say("LOST broken")
		return broken, nil
	}
	if whole == 0 {
		return notRun, fmt.Errorf("no request was served")
	}
	return held, nil
}

// readSlowly sends two requests on a connection with a small window. It reads the answer to the
// second, whose id it returns, with a pause after each part.
func (w *world) readSlowly(m *machine, r route, window int, pause, deadline time.Duration) (string, slowAnswer) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
	}}
	conn, err := dialer.Dial("tcp", m.addr(portOut))
	if err != nil {
		return "", slowAnswer{err: err}
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, readPart)
	if a := w.ask(conn, reader, r, w.newID(), 0, deadline); a.err != nil {
		return "", a
	}
	id := w.newID()
	return id, w.ask(conn, reader, r, id, pause, deadline)
}

// readPart is how much of an answer a client reads at once, in bytes.
const readPart = 512

// ask sends a request and reads its answer.
func (w *world) ask(conn net.Conn, reader *bufio.Reader, r route, id string, pause, deadline time.Duration) slowAnswer {
	const body = "order"
	w.note("send %s, read with pauses of %v", id, pause)
	began := time.Now()
	_ = conn.SetDeadline(began.Add(deadline))
	request := "POST " + r.prefix + "order HTTP/1.1\r\nHost: " + r.host + "\r\n" + w.names["request-id"] + ": " + id + "\r\n" +
		w.names["deadline"] + ": " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	if _, err := io.WriteString(conn, request); err != nil {
		return slowAnswer{err: err}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return slowAnswer{took: time.Since(began), err: err}
	}
	a, part := slowAnswer{status: response.StatusCode}, make([]byte, readPart)
	for a.err == nil {
		var n int
		n, a.err = response.Body.Read(part)
		a.bytes += n
		time.Sleep(pause)
	}
	if a.err == io.EOF {
		a.err = nil
	}
	a.took = time.Since(began)
	return a
}
