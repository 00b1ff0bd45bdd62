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

// TestFloodIsBounded floods the log while nothing drains it. No call waits,
// warnings keep their part, and the loss is said.
func TestFloodIsBounded(t *testing.T) {
	is := is.New(t)
	b := NewRateLimitedHandler(newJSON)
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	at := time.Unix(1000, 0)
	flood := func(level log.Level, n int) {
		for range n {
			is.NoErr(b.HandleLog(&log.Entry{Logger: logger, Level: level, Message: "m", Timestamp: at}))
		}
	}
	flood(log.InfoLevel, 5000)
	flood(log.WarnLevel, 5000)
	is.Equal(len(b.queue), infoLines+warnLines)
	is.Equal(b.Dropped(), uint64(10000-infoLines-warnLines))
	at = at.Add(time.Second)
	flood(log.WarnLevel, 1)
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run(ctx, &out)
	is.True(strings.Contains(out.String(), "9950 log lines dropped"))
	is.Equal(strings.Count(out.String(), "\n"), infoLines+warnLines+2)
}

// TestWriterThatBlocks keeps the callers going when the output stands still.
func TestWriterThatBlocks(t *testing.T) {
	is := is.New(t)
	b := NewRateLimitedHandler(newJSON)
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	for second := range 100 {
		for range warnLines {
			e := &log.Entry{Logger: logger, Level: log.ErrorLevel, Message: "m", Timestamp: time.Unix(int64(second), 0)}
			is.NoErr(b.HandleLog(e))
		}
	}
	is.Equal(len(b.queue), queuedLines)
	is.True(b.Dropped() >= uint64(100*warnLines-queuedLines))
}
