package wharfcli

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/matryer/is"
)

func newJSON(w io.Writer) log.Handler { return json.New(w) }

// TestLogFloodIsRateLimited guards against a flood of entries that blocks the
// callers or displaces the warnings. It logs far more entries in one second than
// the limits while Run doesn't write any. No call may wait, each level must keep
// its limit, and the number of dropped lines must be reported.
func TestLogFloodIsRateLimited(t *testing.T) {
	is := is.New(t)
	h := NewRateLimitedHandler(newJSON)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	at := time.Unix(1000, 0)
	flood := func(level log.Level, n int) {
		for range n {
			is.NoErr(h.HandleLog(&log.Entry{Logger: logger, Level: level, Message: "m", Timestamp: at}))
		}
	}
	flood(log.InfoLevel, 5000)
	flood(log.WarnLevel, 5000)
	is.Equal(len(h.queue), infoLinesPerSecond+warnLinesPerSecond)
	is.Equal(h.Dropped(), uint64(10000-infoLinesPerSecond-warnLinesPerSecond))
	at = at.Add(time.Second)
	flood(log.WarnLevel, 1)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.Run(ctx, &out)
	is.True(strings.Contains(out.String(), "9950 log lines dropped"))
	is.Equal(strings.Count(out.String(), "\n"), infoLinesPerSecond+warnLinesPerSecond+2)
}

// TestBlockedWriterDoesNotBlockCallers guards against callers that wait for a
// blocked output. It fills the queue without a writer; further lines must be
// dropped.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	h := NewRateLimitedHandler(newJSON)
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for second := range 100 {
		for range warnLinesPerSecond {
			e := &log.Entry{Logger: logger, Level: log.ErrorLevel, Message: "m", Timestamp: time.Unix(int64(second), 0)}
			is.NoErr(h.HandleLog(e))
		}
	}
	is.Equal(len(h.queue), maxQueuedLines)
	is.True(h.Dropped() >= uint64(100*warnLinesPerSecond-maxQueuedLines))
}

// TestEssentialLinesAreNotDropped checks that lines such as those about start and stop are
// written however many others there are, and that Saturated agrees with the limit.
func TestEssentialLinesAreNotDropped(t *testing.T) {
	is := is.New(t)
	h := NewRateLimitedHandler(newJSON)
	h.Essential = func(e *log.Entry) bool { return e.Message == "stopped" }
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	now := time.Now()
	emit := func(message string) {
		is.NoErr(h.HandleLog(&log.Entry{Logger: logger, Level: log.InfoLevel, Message: message, Timestamp: now}))
	}
	for range 2 * infoLinesPerSecond {
		emit("served")
	}
	emit("stopped")
	is.Equal(len(h.queue), infoLinesPerSecond+1)
	if h.Saturated(log.InfoLevel) {
		is.Equal(h.Dropped(), uint64(infoLinesPerSecond+1))
		is.True(!h.Saturated(log.WarnLevel))
		return
	}
	is.True(time.Now().Unix() != now.Unix()) // the second has ended meanwhile
}
