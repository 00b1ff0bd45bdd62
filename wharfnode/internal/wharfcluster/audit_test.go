package wharfcluster

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfstream"
)

// deadlineLog notes how long an append may take.
type deadlineLog struct {
	left time.Duration
}

func (l *deadlineLog) Append(ctx context.Context, _ string, _ []byte) (uint64, error) {
	deadline, _ := ctx.Deadline()
	l.left = time.Until(deadline)
	return 0, wharfstream.ErrUnavailable
}

func (l *deadlineLog) Read(context.Context, string, uint64, int, time.Duration) (wharfstream.Batch, error) {
	return wharfstream.Batch{}, wharfstream.ErrUnavailable
}

// TestLastAppendIsShort ends a node whose audit trail still waits for a log that
// may be away. The stop doesn't wait for it as for other calls.
func TestLastAppendIsShort(t *testing.T) {
	is := is.New(t)
	log := &deadlineLog{}
	m := &Agent{Platform: log}
	m.Prepare()
	m.audit.queue <- AuditEntry{Act: "node-leaving"}
	m.audit.writer(m).flush()
	is.True(log.left > 0)
	is.True(log.left <= flushTimeout)
}
