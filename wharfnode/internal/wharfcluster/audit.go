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
	// auditQueue bounds the entries that wait to be written.
	auditQueue = 64
	// auditInterval is the least time between two audit appends of a node, so
	// that all nodes together stay within the append rate limit of the log.
	auditInterval = 30 * time.Second
	// flushTimeout bounds the last append at a planned stop, which must end
	// within the time that the platform grants a process to stop.
	flushTimeout = 200 * time.Millisecond
	// maxAuditAttempts bounds the attempts to append one record.
	maxAuditAttempts = 10
)

// AuditEntry is an action of a node, in the form that the audit stream stores. The
// JSON name act stays for existing clients, as do the log fields act and acts.
type AuditEntry struct {
	Time    time.Time     `json:"time"`
	Node    string        `json:"node"`
	Action  string        `json:"act"`
	Details []AuditDetail `json:"details,omitempty"`
}

// AuditDetail is one detail of an action.
type AuditDetail struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// auditTrail queues the actions of the node for the audit writer.
type auditTrail struct {
	queue chan AuditEntry
}

// Audit queues an action of this node for the audit stream. It doesn't block. If
// the queue is full, the action is recorded only in the log of the process.
func (a *Agent) Audit(action string, details ...wharfevents.Field) {
	entry := AuditEntry{Time: time.Now(), Node: a.View.Node(), Action: action}
	for _, d := range details {
		entry.Details = append(entry.Details, AuditDetail{d.Name, fmt.Sprint(d.Value)})
	}
	select {
	case a.audit.queue <- entry:
	default:
		a.Log.Emit(wharfevents.AuditUnavailable, wharfevents.Field{Name: "act", Value: action})
	}
}

// auditWriter appends queued actions to the audit stream, several in one record.
type auditWriter struct {
	agent *Agent
	queue <-chan AuditEntry
}

func (t *auditTrail) writer(m *Agent) *auditWriter {
	return &auditWriter{agent: m, queue: t.queue}
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

// flush appends the queued entries at a planned stop. It makes only one attempt.
func (w *auditWriter) flush() {
	select {
	case r := <-w.queue:
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = w.append(ctx, w.collect(r))
	default:
	}
}

// collect returns an entry followed by all queued entries.
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

// write appends entries in one record, with exponential backoff between failed
// attempts.
func (w *auditWriter) write(ctx context.Context, entries []AuditEntry) {
	for attempt := range maxAuditAttempts {
		if w.append(ctx, entries) == nil {
			return
		}
		if !wharftimer.Sleep(ctx, time.Second<<min(attempt, 5)) {
			return
		}
	}
	w.agent.Log.Emit(wharfevents.AuditUnavailable, wharfevents.Field{Name: "acts", Value: len(entries)})
}

func (w *auditWriter) append(ctx context.Context, entries []AuditEntry) error {
	data, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	_, err = w.agent.LogClient.Append(ctx, wharfstate.AuditStream, data)
	w.agent.Metrics.LogAppend(wharfstate.AuditStream, resultName(err))
	return err
}
