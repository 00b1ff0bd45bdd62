package wharfprocessor

import (
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"ragwortwharf.dev/wharfnode/wharfevents"
)

// TestShortageIsLoggedOnce guards against a node that is out of processor time and doesn't
// say so, or says so for each request.
func TestShortageIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	lines := memory.New()
	m := &Meter{Log: wharfevents.Log{Logger: &log.Logger{Handler: lines, Level: log.DebugLevel}}}
	now := time.Unix(1000, 0)
	serve := func(span, wait time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(time.Millisecond) {
			m.RecordCall()
			m.observe(now, wait)
		}
	}
	serve(time.Second, time.Millisecond)
	is.Equal(len(lines.Entries), 0)
	serve(time.Second, 20*time.Millisecond)
	is.Equal(len(lines.Entries), 1)
	is.Equal(lines.Entries[0].Fields["name"], wharfevents.ProcessorShort.Name)
	serve(time.Second, time.Millisecond)
	is.Equal(len(lines.Entries), 2)
	is.Equal(lines.Entries[1].Fields["name"], wharfevents.ProcessorSufficient.Name)
	is.Equal(lines.Entries[1].Fields["longest-wait-ms"], int64(20))
}

// TestYieldRecordsWait guards against requests whose wait for the processor isn't measured.
func TestYieldRecordsWait(t *testing.T) {
	is := is.New(t)
	m := &Meter{Metrics: wharfevents.NewMetrics()}
	for range 3 {
		m.Yield()
	}
	var metrics strings.Builder
	m.Metrics.WritePrometheus(&metrics)
	is.True(strings.Contains(metrics.String(), "wharf_processor_wait_seconds_count 3\n"))
}
