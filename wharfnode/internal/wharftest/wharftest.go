package wharftest

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// patience bounds the wait for something that must happen. It is far beyond
// what is promised, because tests decide on outcomes and not on times.
const patience = 60 * time.Second

// Eventually waits until a condition holds.
func Eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("never happened: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Ports hands out addresses from a range that the system uses for nothing by
// itself, so that none is taken between its choice and its use.
type Ports struct {
	// First is the first port of the range; each test package has its own.
	First uint32
	used  atomic.Uint32
}

// Address returns an address that nothing listens on.
func (p *Ports) Address(t *testing.T) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", p.First+p.used.Add(1))
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
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
