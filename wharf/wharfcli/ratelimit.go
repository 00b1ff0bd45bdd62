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
	// infoLinesPerSecond limits the lines below level warn, warnLinesPerSecond
	// those of level warn and above. The limits are separate, so that lines about
	// served requests don't displace lines about failed ones. A terminal or log
	// collector easily keeps up with the sum of both.
	infoLinesPerSecond = 10
	warnLinesPerSecond = 40
	// maxQueuedLines limits the lines that are queued while the writer blocks.
	maxQueuedLines = 256
)

// Formatter returns a handler that writes formatted entries to w.
type Formatter func(w io.Writer) log.Handler

// RateLimitedHandler is a log handler that never blocks and limits the lines per
// second. It counts the lines that it drops and reports their number in one line
// of a later second. It is safe for concurrent use.
type RateLimitedHandler struct {
	// Essential reports whether an entry is written beyond the limit as well. There
	// must be few such entries. It is set before the first entry and may be nil.
	Essential func(e *log.Entry) bool

	format log.Handler
	line   bytes.Buffer
	queue  chan []byte

	mu sync.Mutex
	// second is the second of the last entry in Unix time; info and warn count
	// the entries of that second.
	second int64
	info   int
	warn   int
	// dropped counts the dropped lines that were not reported yet.
	dropped int
	// total counts all dropped lines.
	total uint64
}

// NewRateLimitedHandler returns a handler that formats and queues entries. Run
// writes them.
func NewRateLimitedHandler(format Formatter) *RateLimitedHandler {
	h := &RateLimitedHandler{queue: make(chan []byte, maxQueuedLines)}
	h.format = format(&h.line)
	return h
}

// HandleLog queues an entry, or drops it if the limit of this second is reached
// or the queue is full. Its error is that of the formatter.
func (h *RateLimitedHandler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if second := e.Timestamp.Unix(); second != h.second {
		h.second, h.info, h.warn = second, 0, 0
		h.reportDropped(e)
	}
	if !h.allows(e.Level) && (h.Essential == nil || !h.Essential(e)) {
		h.drop()
		return nil
	}
	return h.write(e)
}

// Saturated reports whether the limit of a level is reached in the present second. If so,
// it counts a dropped line, so that the caller needn't build the entry.
func (h *RateLimitedHandler) Saturated(level log.Level) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.second != time.Now().Unix() {
		return false
	}
	saturated := h.info >= infoLinesPerSecond
	if level >= log.WarnLevel {
		saturated = h.warn >= warnLinesPerSecond
	}
	if saturated {
		h.drop()
	}
	return saturated
}

// allows counts an entry and reports whether the limit of its level permits it.
func (h *RateLimitedHandler) allows(level log.Level) bool {
	if level >= log.WarnLevel {
		h.warn++
		return h.warn <= warnLinesPerSecond
	}
	h.info++
	return h.info <= infoLinesPerSecond
}

func (h *RateLimitedHandler) drop() {
	h.dropped++
	h.total++
}

// reportDropped queues a line with the number of lines dropped in earlier
// seconds.
func (h *RateLimitedHandler) reportDropped(e *log.Entry) {
	if h.dropped == 0 {
		return
	}
	summary := *e
	summary.Level, summary.Fields = log.WarnLevel, log.Fields{"lines": h.dropped}
	summary.Message = fmt.Sprintf("%d log lines dropped", h.dropped)
	if h.write(&summary) == nil {
		h.dropped = 0
	}
}

// write formats an entry and queues it. The caller must hold h.mu.
func (h *RateLimitedHandler) write(e *log.Entry) error {
	h.line.Reset()
	if err := h.format.HandleLog(e); err != nil {
		return err
	}
	select {
	case h.queue <- bytes.Clone(h.line.Bytes()):
	default:
		h.drop()
	}
	return nil
}

// Dropped returns the number of lines dropped so far.
func (h *RateLimitedHandler) Dropped() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// flushTimeout limits how long queued lines are written at the end of a program.
const flushTimeout = 100 * time.Millisecond

// Run writes queued lines to w until the context ends. It then writes the lines
// that are still queued, for at most flushTimeout.
func (h *RateLimitedHandler) Run(ctx context.Context, w io.Writer) {
	for {
		select {
		case line := <-h.queue:
			// A write error can't be reported, because the log is its only channel.
			_, _ = w.Write(line)
		case <-ctx.Done():
			h.flush(w)
			return
		}
	}
}

func (h *RateLimitedHandler) flush(w io.Writer) {
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); {
		select {
		case line := <-h.queue:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
