package wharfmemnet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferBytes bounds the bytes that were written to a connection and not read, as the
// buffers of the kernel do.
const bufferBytes = 256 << 10

// stream carries the bytes of one direction of a connection.
type stream struct {
	mu   sync.Mutex
	data []byte
	// written is whether the writer has closed its end, and abandoned whether the reader
	// has closed its own.
	written, abandoned bool
	// changed is closed at the next change, and then replaced.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

// update changes the stream and wakes those that wait for it.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// take moves bytes to p. If there are none, it returns a channel to wait for.
func (s *stream) take(p []byte) (n int, wait <-chan struct{}, err error) {
	s.mu.Lock()
	changed := s.changed
	empty, ended := len(s.data) == 0, s.written
	s.mu.Unlock()
	switch {
	case !empty:
		s.update(func() {
			n = copy(p, s.data)
			s.data = s.data[n:]
		})
		return n, nil, nil
	case ended:
		return 0, nil, io.EOF
	default:
		return 0, changed, nil
	}
}

// put appends a part of p. If there is no room, it returns a channel to wait for.
func (s *stream) put(p []byte) (n int, wait <-chan struct{}, err error) {
	s.mu.Lock()
	changed := s.changed
	room := bufferBytes - len(s.data)
	broken := s.abandoned || s.written
	s.mu.Unlock()
	switch {
	case broken:
		return 0, nil, syscall.EPIPE
	case room > 0:
		n = min(room, len(p))
		s.update(func() { s.data = append(s.data, p[:n]...) })
		return n, nil, nil
	default:
		return 0, changed, nil
	}
}

// deadline is a point in time that may be moved.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{}
}

func newDeadline() *deadline {
	return &deadline{changed: make(chan struct{})}
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
	close(d.changed)
	d.changed = make(chan struct{})
}

// wait waits until a channel is closed, the deadline passes or moves, or the end of the
// connection is closed.
func (d *deadline) wait(wake, closed <-chan struct{}) error {
	d.mu.Lock()
	at, changed := d.at, d.changed
	d.mu.Unlock()
	var expired <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-wake:
	case <-changed:
	case <-closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// passed reports whether the deadline has passed.
func (d *deadline) passed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

// conn is one end of a connection.
type conn struct {
	local, remote net.Addr
	in, out       *stream
	read, write   *deadline
	once          sync.Once
	closed        chan struct{}
}

// newPair returns the two ends of a connection.
func newPair(client, server net.Addr) (net.Conn, net.Conn) {
	up, down := newStream(), newStream()
	end := func(local, remote net.Addr, in, out *stream) *conn {
		return &conn{
			local: local, remote: remote, in: in, out: out,
			read: newDeadline(), write: newDeadline(), closed: make(chan struct{}),
		}
	}
	return end(client, server, down, up), end(server, client, up, down)
}

// Read reads bytes that the other end has written.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if err := c.check(c.read); err != nil {
			return 0, c.opError("read", err)
		}
		n, wait, err := c.in.take(p)
		if wait == nil {
			return n, err
		}
		if err := c.read.wait(wait, c.closed); err != nil {
			return 0, c.opError("read", err)
		}
	}
}

// Write writes bytes to the other end, and waits while its buffer is full.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.check(c.write); err != nil {
			return written, c.opError("write", err)
		}
		n, wait, err := c.out.put(p[written:])
		written += n
		if err != nil {
			return written, c.opError("write", err)
		}
		if wait == nil {
			continue
		}
		if err := c.write.wait(wait, c.closed); err != nil {
			return written, c.opError("write", err)
		}
	}
	return written, nil
}

// check returns an error if this end is closed or a deadline has passed.
func (c *conn) check(d *deadline) error {
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
	}
	if d.passed() {
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c *conn) opError(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close closes this end. The other end reads what was written before.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.out.update(func() { c.out.written = true })
		c.in.update(func() { c.in.abandoned = true })
	})
	return nil
}

// PeerClosed reports whether the other end is closed.
func (c *conn) PeerClosed() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.written
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return nil
}
