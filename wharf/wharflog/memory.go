package wharflog

import (
	"context"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfstream"
)

// firstOffset is the offset of the first record of a stream.
const firstOffset = 1

// Memory is a log in memory. The zero Memory is empty and keeps every record. It
// is safe for concurrent use.
type Memory struct {
	// Retention is how long records are kept; zero means forever.
	Retention time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	streams map[string]*memoryStream
}

type memoryStream struct {
	records []wharfstream.Record
	// next is the offset of the next record.
	next uint64
	// changed is closed at the next append.
	changed chan struct{}
}

func (m *Memory) now() time.Time {
	if m.Now != nil {
		return m.Now()
	}
	return time.Now()
}

// stream returns a stream and creates it if needed. The caller must hold m.mu.
func (m *Memory) stream(name string) *memoryStream {
	if m.streams == nil {
		m.streams = make(map[string]*memoryStream)
	}
	s, ok := m.streams[name]
	if !ok {
		s = &memoryStream{next: firstOffset, changed: make(chan struct{})}
		m.streams[name] = s
	}
	return s
}

// Append adds a record and returns its offset.
func (m *Memory) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	offset := s.next
	s.records = append(s.records, wharfstream.Record{Offset: offset, Time: m.now(), Data: data})
	s.next++
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, nil
}

// Read returns up to limit records, starting at offset from. If there is none it
// waits for an append, at most for wait, and then returns an empty batch. It
// returns ErrExpired if the record at from has expired.
func (m *Memory) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := m.read(stream, max(from, firstOffset), limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (m *Memory) read(stream string, from uint64, limit int) (wharfstream.Batch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	m.expire(s)
	batch := wharfstream.Batch{Oldest: s.next - uint64(len(s.records)), Next: s.next}
	if from < batch.Oldest {
		return batch, s.changed, wharfstream.ErrExpired
	}
	if from < s.next {
		records := s.records[from-batch.Oldest:]
		batch.Records = append(batch.Records, records[:min(limit, len(records))]...)
	}
	return batch, s.changed, nil
}

// expire drops the records older than the retention. The caller must hold m.mu.
func (m *Memory) expire(s *memoryStream) {
	if m.Retention <= 0 {
		return
	}
	cutoff := m.now().Add(-m.Retention)
	n := 0
	for n < len(s.records) && s.records[n].Time.Before(cutoff) {
		n++
	}
	s.records = s.records[n:]
}

// DropBefore drops the records before an offset, as if they had expired.
func (m *Memory) DropBefore(stream string, offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	for len(s.records) > 0 && s.records[0].Offset < offset {
		s.records = s.records[1:]
	}
}
