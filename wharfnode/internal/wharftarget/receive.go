package wharftarget

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfadmission"
	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftransport"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
	"ragwortwharf.dev/wharfnode/wharfprotocol"
)

// consulter asks a previous owner of a key for its entry of the key. The previous
// owner closes the key if it has dispatched no request with it.
type consulter interface {
	Consult(ctx context.Context, owner wharfidempotency.Owner, id wharfidempotency.KeyID) (wharfidempotency.KeyEntry, error)
}

// broadcaster sends quarantine entries to the other nodes of a service.
type broadcaster interface {
	// BroadcastSuspicions returns when the nodes have received the entries.
	BroadcastSuspicions(ctx context.Context, service string, entries []wharfquarantine.Entry)
	// SendCleared sends the entry of a request that isn't suspected any more, and
	// doesn't wait.
	SendCleared(service string, e wharfquarantine.Entry)
}

// auditor writes actions of the node to the audit log.
type auditor interface {
	Audit(action string, details ...wharfevents.Field)
}

// leavingTargets learns that a target said in a response that it leaves.
type leavingTargets interface {
	TargetSaysLeaving(instance, address string)
}

// processor knows what the processor of the node can carry.
type processor interface {
	// RecordCall records a call that has arrived.
	RecordCall()
	// RecordRefusal records that a call was refused on its arrival.
	RecordRefusal()
	// Load returns what the processor can carry.
	Load() wharfadmission.ProcessorLoad
}

// Server is the target side of a node. Its exported fields are set before the first
// call. It is safe for concurrent use.
type Server struct {
	View     *wharfview.View
	Registry *Registry
	// Backpressure rejects client requests while downstream calls are delayed in
	// queues.
	Backpressure *BackpressureGuard
	// Ledger holds the grants of the calls that the targets are serving.
	Ledger      *wharfbudget.Ledger
	Processor   processor
	Quarantine  *wharfquarantine.List
	Keys        *wharfidempotency.KeyStore
	Consulter   consulter
	Broadcaster broadcaster
	Auditor     auditor
	// LeavingTargets stops the dispatch to targets that leave.
	LeavingTargets leavingTargets
	Protocol       wharfprotocol.TargetProtocol
	// RepeatLimit bounds how often calls that a target refuses are sent to it again, over
	// all nodes of its service together. It has no slack.
	RepeatLimit wharfbudget.RepeatLimit
	// CrashedTargetRefusesConnections is true if a crashed target refuses connections
	// for a while. If such a target accepts a new connection after a request has
	// failed, it has not crashed; only the response was lost.
	CrashedTargetRefusesConnections bool
	Log                             wharfevents.Log
	Metrics                         wharfevents.Metrics

	joiners joiners
	client  dispatcher
	// crashes counts the crashes of targets that this node has recorded.
	crashes atomic.Int64
	lastID  atomic.Uint64
	leaving atomic.Bool
	// stopTime is the end of the planned stop, nil before it.
	stopTime atomic.Pointer[time.Time]
	// stopSignal is closed when stopTime is set.
	stopSignal signal
	// stopBegan is the start of the planned stop, nil before it. cutting is true once the
	// stop aborts the calls that are left.
	stopBegan atomic.Pointer[time.Time]
	cutting   atomic.Bool
	calls     atomic.Int64
}

// call is the state of a call while it passes the filters.
type call struct {
	id          uint64
	ctx         context.Context
	head        *wharfwire.CallHead
	headers     http.Header
	stream      wharftransport.ServerStream
	body        *callBody
	config      *wharfconfig.Snapshot
	deadline    time.Time
	fingerprint wharfquarantine.Fingerprint
	// account identifies the client account of the client request, zero if there is none.
	account uint32
	// target is nil if this node has no target for the call.
	target *target
	// instance is the instance of the target that the call was dispatched to. It is empty if the
	// target has announced none.
	instance string
	// conn is the connection to the target.
	conn connection

	// keyed is true if the call must run at most once, which key ensures.
	keyed bool
	key   wharfidempotency.KeyID
	// grant identifies the ledger entry of the call.
	grant wharfbudget.GrantID
	// dispatched is true once the call has a grant in the ledger.
	dispatched bool
	// received and dispatchedAt are the times of its arrival and of its dispatch.
	received, dispatchedAt time.Time
	// dispatchInfo is the information that was sent to the target with the request.
	dispatchInfo wharfprotocol.Dispatch
	// fromClient is true for a client request, and false for a call that a service
	// makes to serve one.
	fromClient bool
	// refused is true if the target has refused the call and got it again.
	refused bool
	// arrived is true if the target has or may have received the request.
	arrived bool
	// downstream holds the results of the downstream calls that the target made for
	// this call.
	downstream wharfbudget.ServedCall
	// replay is the stored response to an earlier send of the request.
	replay *wharfidempotency.Response
	// served is true once the response of the target was sent.
	served bool
	// stopped is true if the stop of the node has aborted the dispatch.
	stopped bool
	// err ends the stream of a call whose response could not be sent completely.
	err error
}

// filter is one step in the processing of a call. It returns true to pass the call
// to the next filter, or false and the outcome that ends the call.
type filter func(s *Server, c *call) (wharfoutcome.Outcome, bool)

// filters lists the filters in the order in which a call passes them.
var filters = []filter{
	(*Server).checkLeaving,
	(*Server).checkDeadline,
	(*Server).checkQuarantine,
	(*Server).claimKey,
	(*Server).admit,
	(*Server).dispatch,
}

// Call serves one call from another node, or from this one.
func (s *Server) Call(stream wharftransport.ServerStream) error {
	frame, err := firstFrame(stream)
	if err != nil {
		return err
	}
	head := frame.GetHead()
	headers := make(http.Header, len(head.GetHeaders()))
	if err := wharfwire.UnpackHeaders(headers, head.GetHeaders()); err != nil {
		return err
	}
	s.calls.Add(1)
	s.Processor.RecordCall()
	received := time.Now()
	c := &call{
		id:          s.lastID.Add(1),
		received:    received,
		ctx:         stream.Context(),
		head:        head,
		headers:     headers,
		stream:      stream,
		body:        newCallBody(stream, frame),
		config:      s.View.Config(),
		deadline:    received.Add(wharfwire.Duration(head.GetTimeoutMs())),
		fingerprint: wharfquarantine.Fingerprint(head.GetFingerprint()),
		account:     wharfadmission.AccountHash(head.GetAccount()),
		target:      s.Registry.serving(head.GetService(), head.GetTarget()),
		grant:       wharfbudget.GrantID(rand.Uint64()),
	}
	defer s.end(c)
	c.fromClient = head.GetDepth() == 0 && s.Backpressure.IsClientRequest(head.GetRoute(), head.GetCaller(), s.View.ServiceCount())
	return s.serve(c)
}

// Refuse ends a call from another node with an outcome, before it takes anything of the node.
func (s *Server) Refuse(stream wharftransport.ServerStream, o wharfoutcome.Outcome) error {
	frame, err := firstFrame(stream)
	if err != nil {
		return err
	}
	received := time.Now()
	c := &call{
		ctx: stream.Context(), head: frame.GetHead(), stream: stream, received: received,
		deadline: received.Add(wharfwire.Duration(frame.GetHead().GetTimeoutMs())),
	}
	s.Metrics.Dispatch(c.head.GetClass(), o)
	s.logUnserved(c, o, nil)
	return s.sendComplete(c, s.responseHead(c, o), nil)
}

// firstFrame returns the first frame of a call, which has its head.
func firstFrame(stream wharftransport.ServerStream) (*wharfwire.CallFrame, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if frame.GetHead() == nil {
		// The text stays as it is: Handler sends it to the peer.
		return nil, oops.Code("call-without-head").Errorf("a call begins with its head")
	}
	return frame, nil
}

// serve passes the call through the filters and sends the outcome that ends it. If
// all filters pass, dispatch has already sent the response.
func (s *Server) serve(c *call) error {
	for _, f := range filters {
		o, pass := f(s, c)
		if pass {
			continue
		}
		s.Metrics.Dispatch(c.head.GetClass(), o)
		head := s.responseHead(c, o)
		s.logUnserved(c, o, head.GetLoad())
		if c.replay != nil {
			return s.sendStored(c, head)
		}
		return s.sendComplete(c, head, nil)
	}
	c.served = c.err == nil
	return c.err
}

// logUnserved writes a log line for a call that ended without a response of the
// target. The line includes the load of the target, which explains a refusal.
func (s *Server) logUnserved(c *call, o wharfoutcome.Outcome, load *wharfwire.Load) {
	if !s.Log.Enabled(wharfevents.CallUnserved) {
		return
	}
	fields := []wharfevents.Field{
		c.requestField(),
		{Name: "service", Value: c.head.GetService()},
		{Name: "caller", Value: c.head.GetCaller()},
		{Name: "rank", Value: c.head.GetRank()},
		{Name: "outcome", Value: o.Kind.String()},
		{Name: "reason", Value: string(o.Reason)},
		{Name: "arrived", Value: c.arrived},
		fingerprintField(c.fingerprint),
		{Name: "deadline-ms", Value: time.Until(c.deadline).Milliseconds()},
	}
	if load != nil {
		fields = append(fields,
			wharfevents.Field{Name: "target", Value: c.target.address},
			wharfevents.Field{Name: "running", Value: load.GetInFlight()},
			wharfevents.Field{Name: "queued", Value: load.GetQueued()},
			wharfevents.Field{Name: "limit", Value: load.GetLimit()},
			// pressure-ms is the queue delay, which the load report calls pressure_ms.
			wharfevents.Field{Name: "pressure-ms", Value: load.GetPressureMs()},
			wharfevents.Field{Name: "rejected-permille", Value: load.GetRejectedPermille()})
	}
	s.Log.Emit(wharfevents.CallUnserved, append(fields, s.stopFields()...)...)
}

// ticket returns the description of the call for the gate of its target.
func (c *call) ticket(now time.Time) wharfadmission.Ticket {
	return wharfadmission.Ticket{
		ID:       c.id,
		Rank:     int(c.head.GetRank()),
		Depth:    int(c.head.GetDepth()),
		Priority: c.ticketPriority(),
		Arrived:  now,
		Deadline: c.deadline,

		Objective: wharfwire.Duration(c.head.GetObjectiveMs()),
	}
}

// ticketPriority returns the priority that the sender set, at most LevelOpen.
func (c *call) ticketPriority() wharfadmission.Priority {
	return wharfadmission.Priority(min(c.head.GetPriority(), uint32(wharfadmission.LevelOpen)))
}

// CallsInFlight returns the number of calls that are being served.
func (s *Server) CallsInFlight() int {
	return int(s.calls.Load())
}

// Connections returns the number of open connections to targets.
func (s *Server) Connections() int {
	return s.client.connections.Open()
}
