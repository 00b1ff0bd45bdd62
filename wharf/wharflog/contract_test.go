package wharflog

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfstream"
)

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

const testStream = "records"

// contract lists the properties that every implementation of Log must have.
var contract = []struct {
	name string
	test func(is *is.I, l Log, c *fakeClock)
}{
	{"offsets begin at one and have no gaps", func(is *is.I, l Log, _ *fakeClock) {
		for want := uint64(1); want <= 3; want++ {
			got, err := l.Append(context.Background(), testStream, []byte{byte(want)})
			is.NoErr(err)
			is.Equal(got, want)
		}
		b, err := l.Read(context.Background(), testStream, 2, 10, 0)
		is.NoErr(err)
		is.Equal(len(b.Records), 2)
		is.Equal(b.Records[0].Data, []byte{2})
		is.Equal(b.Next, uint64(4))
	}},
	{"streams are independent", func(is *is.I, l Log, _ *fakeClock) {
		_, err := l.Append(context.Background(), "other", nil)
		is.NoErr(err)
		b, err := l.Read(context.Background(), testStream, 1, 10, 0)
		is.NoErr(err)
		is.Equal(len(b.Records), 0)
	}},
	{"a read returns at most its limit", func(is *is.I, l Log, _ *fakeClock) {
		for range 5 {
			_, err := l.Append(context.Background(), testStream, nil)
			is.NoErr(err)
		}
		b, err := l.Read(context.Background(), testStream, 1, 2, 0)
		is.NoErr(err)
		is.Equal(len(b.Records), 2)
	}},
	{"a read waits for a record", func(is *is.I, l Log, _ *fakeClock) {
		got := make(chan wharfstream.Batch)
		go func() {
			b, _ := l.Read(context.Background(), testStream, 1, 10, 10*time.Second)
			got <- b
		}()
		_, err := l.Append(context.Background(), testStream, []byte("x"))
		is.NoErr(err)
		is.Equal(len((<-got).Records), 1)
	}},
	{"a read past the end returns an empty batch", func(is *is.I, l Log, _ *fakeClock) {
		b, err := l.Read(context.Background(), testStream, 9, 10, time.Millisecond)
		is.NoErr(err)
		is.Equal(len(b.Records), 0)
		is.Equal(b.Next, uint64(1))
	}},
	{"old records expire", func(is *is.I, l Log, c *fakeClock) {
		_, err := l.Append(context.Background(), testStream, nil)
		is.NoErr(err)
		c.advance(2 * time.Hour)
		_, err = l.Append(context.Background(), testStream, nil)
		is.NoErr(err)
		b, err := l.Read(context.Background(), testStream, 1, 10, 0)
		is.True(errors.Is(err, wharfstream.ErrExpired))
		is.Equal(b.Oldest, uint64(2))
	}},
}

func TestContract(t *testing.T) {
	logs := []struct {
		name string
		make func(t *testing.T, m *Memory) Log
	}{
		{"memory", func(_ *testing.T, m *Memory) Log { return m }},
		{"http", func(t *testing.T, m *Memory) Log {
			server := httptest.NewServer(Handler(m))
			t.Cleanup(server.Close)
			return NewClient(server.URL)
		}},
	}
	for _, l := range logs {
		for _, tc := range contract {
			t.Run(l.name+"/"+tc.name, func(t *testing.T) {
				c := &fakeClock{now: time.Unix(1000, 0)}
				tc.test(is.New(t), l.make(t, &Memory{Retention: time.Hour, Now: c.Now}), c)
			})
		}
	}
}

// faultyLog appends records but returns err, and counts the calls of Append.
type faultyLog struct {
	Memory
	err      error
	arrivals atomic.Int32
}

func (f *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	f.arrivals.Add(1)
	offset, err := f.Memory.Append(ctx, stream, data)
	if f.err != nil {
		return 0, f.err
	}
	return offset, err
}

// TestClientDistinguishesFailures guards against a client or transport that
// resends a failed append, which would add the record twice, and against errors
// that hide whether the append may have taken effect.
func TestClientDistinguishesFailures(t *testing.T) {
	for _, want := range []error{wharfstream.ErrUncertain, wharfstream.ErrRateLimited, wharfstream.ErrUnavailable} {
		t.Run(want.Error(), func(t *testing.T) {
			is := is.New(t)
			l := &faultyLog{err: want}
			server := httptest.NewServer(Handler(l))
			defer server.Close()
			client := NewClient(server.URL)
			// The first append opens a connection that the later ones may reuse.
			// An HTTP transport may resend requests on reused connections.
			for appends := int32(1); appends <= 3; appends++ {
				_, err := client.Append(context.Background(), testStream, []byte("x"))
				is.True(errors.Is(err, want))
				is.Equal(l.arrivals.Load(), appends) // each append is sent once
			}
		})
	}
}

func TestClientWithoutService(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	server.Close()
	_, err := NewClient(server.URL).Read(context.Background(), testStream, 1, 1, 0)
	is.True(errors.Is(err, wharfstream.ErrUnavailable))
}
