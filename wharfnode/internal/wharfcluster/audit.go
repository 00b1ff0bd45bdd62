package wharfcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// auditQueue bounds the records that wait to be written.
	auditQueue = 64
	// auditInterval is the least time between two appends of a node, so that
	// all nodes together stay within what the log takes.
	auditInterval = 30 * time.Second
	// flushTimeout bounds the last append of a planned stop, which must not outlast
	// the time that the platform leaves to a process.
	flushTimeout = 200 * time.Millisecond
	// maxAuditTries bounds the attempts at one record.
	maxAuditTries = 10
)

// AuditEntry is an act of a node as it stands in the audit stream.
type AuditEntry struct {
	Time    time.Time     `json:"time"`
	Node    string        `json:"node"`
	Act     string        `json:"act"`
	Details []AuditDetail `json:"details,omitempty"`
}

// AuditDetail is one detail of an act.
type AuditDetail struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// auditTrail takes the acts of the node.
type auditTrail struct {
	queue chan AuditEntry
}

// Audit records an act of this node. When too many wait, the act is only in
// the log of the process.
func (m *Agent) Audit(act string, details ...wharfevents.Field) {
	entry := AuditEntry{Time: time.Now(), Node: m.View.Node(), Act: act}
	for _, d := range details {
		entry.Details = append(entry.Details, AuditDetail{d.Name, fmt.Sprint(d.Value)})
	}
	select {
	case m.audit.queue <- entry:
	default:
		m.Log.Emit(wharfevents.AuditUnavailable, wharfevents.Field{Name: "act", Value: act})
	}
}

// auditWriter appends acts to the audit stream, several in one record.
type auditWriter struct {
	mesh  *Agent
	queue <-chan AuditEntry
}

func (t *auditTrail) writer(m *Agent) *auditWriter {
	return &auditWriter{mesh: m, queue: t.queue}
}

func (w *auditWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case r := <-w.queue:
			w.write(ctx, w.collect(r))
		}
		if !wharftimer.Sleep(ctx, auditInterval) {
			w.flush()
			return
		}
	}
}

// flush writes what waits at a planned stop, once.
func (w *auditWriter) flush() {
	select {
	case r := <-w.queue:
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = w.append(ctx, w.collect(r))
	default:
	}
}

func (w *auditWriter) collect(first AuditEntry) []AuditEntry {
	entries := []AuditEntry{first}
	for {
		select {
		case r := <-w.queue:
			entries = append(entries, r)
		default:
			return entries
		}
	}
}

func (w *auditWriter) write(ctx context.Context, entries []AuditEntry) {
	for try := range maxAuditTries {
		if w.append(ctx, entries) == nil {
			return
		}
		if !wharftimer.Sleep(ctx, time.Second<<min(try, 5)) {
			return
		}
	}
	w.mesh.Log.Emit(wharfevents.AuditUnavailable, wharfevents.Field{Name: "acts", Value: len(entries)})
}

func (w *auditWriter) append(ctx context.Context, entries []AuditEntry) error {
	data, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	_, err = w.mesh.Platform.Append(ctx, wharfstate.AuditStream, data)
	w.mesh.Metrics.LogAppend(wharfstate.AuditStream, resultName(err))
	return err
}
