package wharfevents

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/apex/log"
	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfcli"
)

// Event is an entry of the catalogue: one kind of log line. Number and Name stay as
// they are for existing clients, such as log filters, also where Name is older than
// the Go name or the message.
type Event struct {
	Number  int
	Name    string
	Level   log.Level
	Message string
}

// Events of the process.
var (
	NodeStarted         = Event{1001, "node-started", log.InfoLevel, "node started"}
	NodeStopping        = Event{1002, "node-stopping", log.InfoLevel, "planned stop began"}
	NodeStopped         = Event{1003, "node-stopped", log.InfoLevel, "node stopped"}
	StopTimedOut        = Event{1004, "stop-cut-requests", log.ErrorLevel, "stop timeout reached with requests in flight"}
	ListenFailed        = Event{1005, "listen-failed", log.ErrorLevel, "can't listen on the address"}
	SettingsReloaded    = Event{1007, "settings-reloaded", log.InfoLevel, "changed settings applied"}
	SettingsRefused     = Event{1008, "settings-refused", log.ErrorLevel, "changed settings can't be used"}
	PauseNoticed        = Event{1006, "pause-noticed", log.WarnLevel, "process was paused"}
	MemoryLimited       = Event{1009, "memory-limit-set", log.InfoLevel, "memory limit of the runtime set"}
	ProcessorShort      = Event{1010, "processor-short", log.WarnLevel, "requests wait for the processor"}
	MemoryShort         = Event{1014, "memory-short", log.WarnLevel, "memory in use near the limit of the runtime"}
	MemorySufficient    = Event{1015, "memory-sufficient", log.WarnLevel, "memory in use below the limit of the runtime again"}
	ConnectionsLimited  = Event{1016, "connections-limited", log.WarnLevel, "as many connections of other nodes as allowed"}
	ProcessorSufficient = Event{1011, "processor-sufficient", log.WarnLevel, "requests don't wait for the processor any more"}
	RequestCut          = Event{1012, "stop-cut-request", log.ErrorLevel, "stop aborted a request of a caller"}
	PanicRecovered      = Event{1017, "panic-recovered", log.ErrorLevel, "fault in the program ended one call"}
	CallCut             = Event{1013, "stop-cut-call", log.ErrorLevel, "stop aborted a call to a target of the node"}
)

// Events of requests. LateResponse means that an attempt received the response to
// another attempt, and ForeignResponse that a target sent a response that doesn't belong to the
// request.
var (
	BadRequest         = Event{2001, "bad-request", log.WarnLevel, "request refused for bad input"}
	LateResponse       = Event{2002, "late-answer", log.WarnLevel, "response of another attempt discarded"}
	ResponseIncomplete = Event{2003, "answer-incomplete", log.WarnLevel, "response truncated"}
	DispatchFailed     = Event{2004, "dispatch-failed", log.WarnLevel, "dispatch to the target failed"}
	RequestServed      = Event{2005, "request-served", log.InfoLevel, "request completed with the response of a target"}
	RequestUnserved    = Event{2006, "request-unserved", log.WarnLevel, "request ended without the response of a target"}
	AttemptFailed      = Event{2007, "attempt-failed", log.WarnLevel, "attempt ended without a response"}
	ForeignResponse    = Event{2009, "foreign-answer", log.WarnLevel, "response of the target doesn't belong to the request"}
	CallUnserved       = Event{2008, "call-unserved", log.WarnLevel, "call ended at the target's node without a response of the target"}
)

// Events of targets.
var (
	TargetAnnounced     = Event{3001, "target-announced", log.InfoLevel, "target announced itself"}
	TargetLeaving       = Event{3002, "target-leaving", log.InfoLevel, "target is leaving"}
	TargetExpired       = Event{3003, "target-expired", log.WarnLevel, "target stopped renewing its announcement"}
	AnnouncementRefused = Event{3004, "target-refused", log.WarnLevel, "announcement of a target refused"}
	TargetCrashed       = Event{3005, "target-crashed", log.ErrorLevel, "target crashed with requests in flight"}
	TargetUnresponsive  = Event{3007, "target-silent", log.WarnLevel, "target is unresponsive and accepts no connection"}
	TargetResponsive    = Event{3008, "target-answers", log.WarnLevel, "unresponsive target accepts connections again"}
	TargetRateLimited   = Event{3009, "target-rate-limited", log.WarnLevel, "target named a rate limit"}
	TargetRateLifted    = Event{3010, "target-rate-lifted", log.InfoLevel, "target names no rate limit any more"}
	RequestQuarantined  = Event{3006, "request-quarantined", log.ErrorLevel, "request quarantined for crashing targets"}
	QuarantineReceived  = Event{3011, "quarantine-received", log.ErrorLevel, "request quarantined by what another node reported"}
	SuspicionCleared    = Event{3012, "suspicion-cleared", log.WarnLevel, "suspected request completed without a crash"}
	TargetCongested     = Event{3016, "target-congested", log.InfoLevel, "target rejects a share of the client requests"}
	AccountsLimited     = Event{3017, "accounts-limited", log.InfoLevel, "target serves less of some accounts than they ask for"}
	CrashRuledOut       = Event{3013, "crash-ruled-out", log.WarnLevel, "connection to the target lost, but the target accepts others"}
	TargetRefusing      = Event{3014, "target-refusing", log.WarnLevel, "target refuses calls although it has free slots"}
	TargetAccepting     = Event{3015, "target-accepting", log.InfoLevel, "target doesn't refuse calls any more"}
)

// Events of configuration and the platform's log.
var (
	ConfigAdvanced    = Event{4001, "config-advanced", log.InfoLevel, "configuration moved to a higher offset"}
	LogUnavailable    = Event{4004, "log-unavailable", log.WarnLevel, "platform's log can't be read"}
	LogAvailable      = Event{4005, "log-available", log.InfoLevel, "platform's log can be read again"}
	RecordsExpired    = Event{4006, "records-expired", log.WarnLevel, "records needed have expired in the log"}
	SnapshotWritten   = Event{4007, "snapshot-written", log.InfoLevel, "snapshot written to the log"}
	SnapshotAdopted   = Event{4008, "snapshot-adopted", log.InfoLevel, "snapshot restored"}
	AppendUncertain   = Event{4009, "append-uncertain", log.WarnLevel, "append to the log may or may not have taken effect"}
	SnapshotRefused   = Event{4010, "snapshot-refused", log.WarnLevel, "snapshot of a peer can't be used"}
	ConfigRefused     = Event{4012, "config-refused", log.ErrorLevel, "configuration can't be used"}
	ConfigPartIgnored = Event{4014, "config-part-ignored", log.WarnLevel, "a part of the configuration can't be used"}
	EntryIgnored      = Event{4013, "entry-ignored", log.WarnLevel, "entry in the platform's log ignored"}
	AuditUnavailable  = Event{4011, "audit-unavailable", log.WarnLevel, "audit record couldn't be written"}
)

// Events of membership and ownership of keys. IncarnationRaised means that this node
// raised its own incarnation, because it was evicted or because other nodes hold an
// entry of this node with a higher incarnation.
var (
	MemberDown        = Event{5001, "member-down", log.WarnLevel, "node declared down"}
	MemberChanged     = Event{5002, "member-joined", log.DebugLevel, "member entry changed"}
	DownRefuted       = Event{5003, "down-refuted", log.WarnLevel, "node refuted a report that it is down"}
	OwnershipTaken    = Event{5004, "ownership-taken", log.InfoLevel, "node owns keys of its services"}
	OwnershipEnded    = Event{5005, "ownership-ended", log.InfoLevel, "node released the ownership of its keys"}
	KeysHandedOver    = Event{5006, "keys-handed-over", log.InfoLevel, "records of keys handed over"}
	HandOverFailed    = Event{5007, "hand-over-failed", log.ErrorLevel, "records of keys couldn't be handed over"}
	IncarnationRaised = Event{5008, "incarnation-raised", log.WarnLevel, "incarnation raised"}

	NodeUnresponsive     = Event{5010, "node-silent", log.WarnLevel, "node is unresponsive"}
	NodeResponsive       = Event{5011, "node-answers", log.WarnLevel, "unresponsive node answers again"}
	MemberRefused        = Event{5013, "member-refused", log.WarnLevel, "member entry in a message refused"}
	EntryRewritten       = Event{5012, "entry-rewritten", log.InfoLevel, "entry of this node written again after the log was restored"}
	DirectoryUnavailable = Event{5009, "directory-unavailable", log.WarnLevel, "directory of nodes can't be read or written"}
)

// Events of the quotas of client accounts.
var (
	ShardsChanged     = Event{6001, "quota-shards-changed", log.InfoLevel, "shards of quotas that this node allocates changed"}
	ShardsTakenOver   = Event{6002, "quota-shards-taken-over", log.InfoLevel, "shards of quotas taken over with the levels of their buckets"}
	ShardsBegunEmpty  = Event{6003, "quota-shards-begun-empty", log.WarnLevel, "shards of quotas begun with empty buckets"}
	ShardsHandedOver  = Event{6004, "quota-shards-handed-over", log.InfoLevel, "shards of quotas handed over to another node"}
	LeasesUnavailable = Event{6005, "quota-leases-unavailable", log.WarnLevel, "leases of the shards of quotas can't be renewed"}
	LeasesAvailable   = Event{6006, "quota-leases-available", log.InfoLevel, "leases of the shards of quotas are renewed again"}
	AccountOverQuota  = Event{6007, "account-over-quota", log.WarnLevel, "requests of a client account refused beyond its quota"}
	QuotaUnavailable  = Event{6008, "quota-unavailable", log.WarnLevel, "requests refused because the quota of their client account isn't known"}

	ShardsNotRecorded  = Event{6010, "quota-shards-not-recorded", log.WarnLevel, "record of the shards of quotas that this node allocates can't be read or written"}
	QuotaAllowanceUsed = Event{6009, "quota-allowance-used", log.WarnLevel, "requests of a client account sent without an allocator of its quota"}
)

// Catalogue lists all events.
var Catalogue = []Event{
	NodeStarted, NodeStopping, NodeStopped, StopTimedOut, ListenFailed, PauseNoticed, SettingsReloaded, SettingsRefused, MemoryLimited,
	ProcessorShort, ProcessorSufficient, RequestCut, CallCut, PanicRecovered, MemoryShort, MemorySufficient, ConnectionsLimited,
	BadRequest, LateResponse, ResponseIncomplete, DispatchFailed,
	RequestServed, RequestUnserved, AttemptFailed, CallUnserved, ForeignResponse,
	TargetAnnounced, TargetLeaving, TargetExpired, AnnouncementRefused, TargetCrashed, TargetUnresponsive, TargetResponsive, RequestQuarantined,
	TargetRateLimited, TargetRateLifted, QuarantineReceived, SuspicionCleared, CrashRuledOut, TargetRefusing, TargetAccepting, TargetCongested, AccountsLimited,
	ConfigAdvanced, LogUnavailable, LogAvailable, RecordsExpired,
	SnapshotWritten, SnapshotAdopted, AppendUncertain, SnapshotRefused, AuditUnavailable, ConfigRefused, ConfigPartIgnored, EntryIgnored,
	MemberDown, MemberChanged, DownRefuted, OwnershipTaken, OwnershipEnded, KeysHandedOver, HandOverFailed, IncarnationRaised,
	DirectoryUnavailable, EntryRewritten, MemberRefused, NodeUnresponsive, NodeResponsive,
	ShardsChanged, ShardsTakenOver, ShardsBegunEmpty, ShardsHandedOver, LeasesUnavailable, LeasesAvailable, AccountOverQuota, QuotaUnavailable,
	QuotaAllowanceUsed, ShardsNotRecorded,
}

// Log writes events to a logger. The zero Log writes nothing.
type Log struct {
	Logger log.Interface
	// Dropped returns the number of log lines dropped so far. It may be nil.
	Dropped func() uint64
	// Saturated reports whether the log drops further lines of a level at present, and
	// counts one as dropped if so. It may be nil.
	Saturated func(level log.Level) bool
}

// NewLog returns a log that writes to a logger with a rate-limited handler. Events of the
// process itself, of the configuration in force, of the platform's log and of crashes of
// targets are never dropped.
func NewLog(logger log.Interface, handler *wharfcli.RateLimitedHandler) Log {
	handler.Essential = isEssential
	return Log{Logger: logger, Dropped: handler.Dropped, Saturated: handler.Saturated}
}

// firstRequestEvent is the lowest number of the events that requests cause. The events
// with lower numbers concern the process: start, stop, settings.
const firstRequestEvent = 2000

// essentialLogEvents are those events about the configuration and the platform's log
// that are logged once for each change, and those about crashes of targets, of which there
// are at most as many for a crash as requests in flight, and that about congestion, which is
// logged once a second.
var essentialLogEvents = []Event{
	ConfigAdvanced, LogUnavailable, LogAvailable, SnapshotAdopted, ConfigRefused, ConfigPartIgnored,
	TargetCrashed, RequestQuarantined, QuarantineReceived, TargetCongested,
}

// isEssential reports whether an entry is written whatever the number of entries in the
// present second.
func isEssential(e *log.Entry) bool {
	number, ok := e.Fields.Get("event").(int)
	return ok && (number < firstRequestEvent ||
		slices.ContainsFunc(essentialLogEvents, func(e Event) bool { return e.Number == number }))
}

// Field is one detail of an event.
type Field struct {
	Name  string
	Value any
}

// ErrorField returns a field with the error that caused an event.
func ErrorField(err error) Field {
	return Field{Name: "error", Value: describe(err)}
}

// EmitPanic logs the value of a panic that was recovered, and where it was raised.
func (l Log) EmitPanic(task string, value any) {
	l.Emit(PanicRecovered, Field{Name: "task", Value: task}, Field{Name: "error", Value: fmt.Sprint(value)},
		Field{Name: "stack", Value: string(debug.Stack())})
}

// describe returns the code, text and details of an error in one line, without
// the source location.
func describe(err error) string {
	if err == nil {
		return ""
	}
	coded, ok := oops.AsOops(err)
	if !ok {
		return err.Error()
	}
	text := err.Error()
	if code := coded.Code(); code != nil {
		text = fmt.Sprintf("%v: %s", code, text)
	}
	details := coded.Context()
	for _, name := range slices.Sorted(maps.Keys(details)) {
		text += fmt.Sprintf("; %s: %v", name, details[name])
	}
	return text
}

// Enabled reports whether an event of a request would be written, so that code on the
// request path can avoid the cost of building the fields. If not, the line counts as
// dropped.
func (l Log) Enabled(e Event) bool {
	return l.leveled(e) && (l.Saturated == nil || !l.Saturated(e.Level))
}

// leveled reports whether the level of an event is logged.
func (l Log) leveled(e Event) bool {
	logger, ok := l.Logger.(*log.Logger)
	return l.Logger != nil && (!ok || logger.Level <= e.Level)
}

// maxText bounds a text in a field, in bytes. Texts that others have written may be as long
// as a message.
const maxText = 1024

// bounded returns the value of a field, cut off if it is a text that is too long.
func bounded(value any) any {
	text, ok := value.(string)
	if !ok || len(text) <= maxText {
		return value
	}
	return strings.ToValidUTF8(text[:maxText], "") + "…"
}

// Emit writes an event with its fields.
func (l Log) Emit(e Event, fields ...Field) {
	if !l.leveled(e) {
		return
	}
	all := log.Fields{"event": e.Number, "name": e.Name}
	for _, f := range fields {
		all[f.Name] = bounded(f.Value)
	}
	entry := l.Logger.WithFields(all)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Message)
	case log.WarnLevel:
		entry.Warn(e.Message)
	case log.ErrorLevel:
		entry.Error(e.Message)
	default:
		entry.Info(e.Message)
	}
}
