package wharftest

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"ragwortwharf.dev/wharf/wharfsocket"
)

// timeout bounds the wait for a condition. It is far longer than the time
// that a node may take, because these tests check outcomes, not durations.
const timeout = 60 * time.Second

// Eventually polls condition every 10 ms until it holds. After timeout it fails
// the test with the description.
func Eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("never happened: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Ports allocates local addresses from a range outside the ephemeral ports of
// the operating system. This keeps other sockets from taking a port between its
// allocation and its use. It is safe for concurrent use.
type Ports struct {
	// Base is one less than the first port of the range. Each test package has
	// its own range.
	Base uint32
	used atomic.Uint32
}

// Address returns an address on which nothing listens. It fails the test if it
// finds none in 1000 attempts.
func (p *Ports) Address(t *testing.T) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", p.Base+p.used.Add(1))
		l, err := wharfsocket.Listen(t.Context(), address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no address is free")
	return ""
}
