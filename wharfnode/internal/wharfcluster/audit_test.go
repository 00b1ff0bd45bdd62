package wharfcluster

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfstream"
)

// deadlineLog records the time until the deadline of an append.
type deadlineLog struct {
	remaining time.Duration
}

func (l *deadlineLog) Append(ctx context.Context, _ string, _ []byte) (uint64, error) {
	deadline, _ := ctx.Deadline()
	l.remaining = time.Until(deadline)
	return 0, wharfstream.ErrUnavailable
}

func (l *deadlineLog) Read(context.Context, string, uint64, int, time.Duration) (wharfstream.Batch, error) {
	return wharfstream.Batch{}, wharfstream.ErrUnavailable
}

// TestFlushHasShortDeadline guards against a planned stop that waits long for an
// unavailable log. An audit entry is still queued at the stop; its append gets at
// most flushTimeout.
func TestFlushHasShortDeadline(t *testing.T) {
	is := is.New(t)
	log := &deadlineLog{}
	m := &Agent{LogClient: log}
	m.Prepare()
	m.audit.queue <- AuditEntry{Action: "node-leaving"}
	m.audit.writer(m).flush()
	is.True(log.remaining > 0)
	is.True(log.remaining <= flushTimeout)
}
