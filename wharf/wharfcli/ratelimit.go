package wharfcli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// infoLines and warnLines bound the lines of a second by their level, so that
	// lines on served requests don't push out those on failed ones. Together they
	// are below what a terminal or a collector takes without effort.
	infoLines = 10
	warnLines = 40
	// queuedLines is how many lines wait for a writer that doesn't drain.
	queuedLines = 256
)

// Formatter writes entries in some form.
type Formatter func(w io.Writer) log.Handler

// RateLimitedHandler is a handler of logs that never blocks and writes a bounded number of
// lines a second. What it drops is counted and said in one line.
type RateLimitedHandler struct {
	format log.Handler
	line   bytes.Buffer
	queue  chan []byte

	mu      sync.Mutex
	second  int64
	info    int
	warn    int
	dropped int
	total   uint64
}

// NewRateLimitedHandler returns a handler that formats entries. Run writes them.
func NewRateLimitedHandler(format Formatter) *RateLimitedHandler {
	b := &RateLimitedHandler{queue: make(chan []byte, queuedLines)}
	b.format = format(&b.line)
	return b
}

// HandleLog takes an entry if the budget of this second allows.
func (b *RateLimitedHandler) HandleLog(e *log.Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := e.Timestamp.Unix(); second != b.second {
		b.second, b.info, b.warn = second, 0, 0
		b.report(e)
	}
	if !b.allows(e.Level) {
		b.drop()
		return nil
	}
	return b.write(e)
}

func (b *RateLimitedHandler) allows(level log.Level) bool {
	if level >= log.WarnLevel {
		b.warn++
		return b.warn <= warnLines
	}
	b.info++
	return b.info <= infoLines
}

func (b *RateLimitedHandler) drop() {
	b.dropped++
	b.total++
}

// report says how many lines the seconds before have lost.
func (b *RateLimitedHandler) report(e *log.Entry) {
	if b.dropped == 0 {
		return
	}
	lost := *e
	lost.Level, lost.Fields = log.WarnLevel, log.Fields{"lines": b.dropped}
	lost.Message = fmt.Sprintf("%d log lines dropped", b.dropped)
	if b.write(&lost) == nil {
		b.dropped = 0
	}
}

// write formats an entry and queues it; the caller holds the lock.
func (b *RateLimitedHandler) write(e *log.Entry) error {
	b.line.Reset()
	if err := b.format.HandleLog(e); err != nil {
		return err
	}
	select {
	case b.queue <- bytes.Clone(b.line.Bytes()):
	default:
		b.drop()
	}
	return nil
}

// Dropped returns how many lines were dropped so far.
func (b *RateLimitedHandler) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// flushTime bounds the writing of what waits when the program ends.
const flushTime = 100 * time.Millisecond

// Run writes lines until the context ends, and then what still waits.
func (b *RateLimitedHandler) Run(ctx context.Context, w io.Writer) {
	for {
		select {
		case line := <-b.queue:
			// A writer that fails has nowhere to say so.
			_, _ = w.Write(line)
		case <-ctx.Done():
			b.flush(w)
			return
		}
	}
}

func (b *RateLimitedHandler) flush(w io.Writer) {
	for end := time.Now().Add(flushTime); time.Now().Before(end); {
		select {
		case line := <-b.queue:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
