package wharfsocket

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Count counts the connections that are open. The zero Count is ready to use. It is safe for
// concurrent use.
type Count struct {
	open atomic.Int64
}

// Open returns the number of open connections.
func (c *Count) Open() int {
	return int(c.open.Load())
}

// Dial returns a function that makes connections with dial and counts them until they are
// closed.
func (c *Count) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.open.Add(1)
		return &countedConn{Conn: conn, count: c}, nil
	}
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	count *Count
	once  sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.count.open.Add(-1) })
	return c.Conn.Close()
}
