package wharftarget

import (
	"context"
	"math/rand/v2"
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

// consulter asks an earlier home about a key, which closes it there.
type consulter interface {
	Consult(ctx context.Context, owner wharfidempotency.Owner, id wharfidempotency.KeyID) (wharfidempotency.KeyEntry, error)
}

// broadcaster tells the nodes of a service which requests crash targets.
type broadcaster interface {
	BroadcastSuspicions(ctx context.Context, service string, entries []wharfquarantine.Entry)
}

// auditor records acts of the node.
type auditor interface {
	Audit(act string, details ...wharfevents.Field)
}

// Server is the target side of a node.
type Server struct {
	View     *wharfview.View
	Registry *Registry
	// Backpressure is what the calls of the targets here meet.
	Backpressure *BackpressureGuard
	Ledger       *wharfbudget.Ledger
	Quarantine   *wharfquarantine.List
	Keys         *wharfidempotency.KeyStore
	Consulter    consulter
	Broadcaster  broadcaster
	Auditor      auditor
	Protocol     wharfprotocol.TargetProtocol
	// RefusesAfterCrash says that a target which crashed refuses connections for a
	// while, so that one which takes them has only lost an answer.
	RefusesAfterCrash bool
	Log               wharfevents.Log
	Metrics           wharfevents.Metrics

	joiners joiners
	client  dispatcher
	lastID  atomic.Uint64
	leaving atomic.Bool
	calls   atomic.Int64
}

// call is a call on its way through the filters.
type call struct {
	id          uint64
	ctx         context.Context
	head        *wharfwire.CallHead
	stream      wharftransport.Stream
	body        *callBody
	config      *wharfconfig.Snapshot
	deadline    time.Time
	fingerprint wharfquarantine.Fingerprint
	target      *target

	// keyed says that the call must take effect at most once under key.
	keyed bool
	key   wharfidempotency.KeyID
	grant wharfbudget.GrantID
	// dispatched says that the call has a grant in the ledger.
	dispatched bool
	// dispatchInfo is what the target was told with the request.
	dispatchInfo wharfprotocol.Dispatch
	// fromClient says that this is a request of a client, and no call made to serve one.
	fromClient bool
	// arrived says that the target received the request, or may have.
	arrived bool
	// downstream is what the calls that the target made for this one have met.
	downstream wharfbudget.ServedCall
	// replay is the kept answer of an earlier send.
	replay *wharfidempotency.Response
	// err ends the stream of a call whose answer could not be sent whole.
	err error
}

// filter does one job on a call. It returns the outcome that ends the call, or
// true to pass it on.
type filter func(s *Server, c *call) (wharfoutcome.Outcome, bool)

// filters lists the filters in their order.
var filters = []filter{
	(*Server).checkLeaving,
	(*Server).checkDeadline,
	(*Server).checkQuarantine,
	(*Server).claimKey,
	(*Server).admit,
	(*Server).dispatch,
}

// Call serves one call of another node.
func (s *Server) Call(stream wharftransport.Stream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head := frame.GetHead()
	if head == nil {
		return oops.Code("call-without-head").Errorf("a call begins with its head")
	}
	s.calls.Add(1)
	defer s.calls.Add(-1)
	now := time.Now()
	ctx, cancel := context.WithDeadline(stream.Context(), now.Add(time.Duration(head.GetTimeoutMs())*time.Millisecond))
	defer cancel()
	c := &call{
		id:          s.lastID.Add(1),
		ctx:         ctx,
		head:        head,
		stream:      stream,
		body:        newCallBody(stream, frame),
		config:      s.View.Config(),
		deadline:    now.Add(time.Duration(head.GetTimeoutMs()) * time.Millisecond),
		fingerprint: wharfquarantine.Fingerprint(head.GetFingerprint()),
		target:      s.Registry.serving(head.GetService(), head.GetTarget()),
		grant:       wharfbudget.GrantID(rand.Uint64()),
	}
	c.fromClient = head.GetDepth() == 0 && s.Backpressure.IsClientRequest(head.GetRoute(), head.GetCaller(), s.View.Services())
	return s.serve(c)
}

// serve passes the call through the filters and answers with the outcome that
// ends it. A dispatched call has sent its answer itself.
func (s *Server) serve(c *call) error {
	for _, f := range filters {
		o, pass := f(s, c)
		if pass {
			continue
		}
		s.Metrics.Dispatch(c.head.GetClass(), o)
		head := s.answerHead(c, o)
		s.explain(c, o, head.GetLoad())
		if c.replay != nil {
			return s.sendStored(c, head)
		}
		return s.sendWhole(c, head, nil)
	}
	return c.err
}

// explain writes the line of a call that ended without the target's answer, with
// the load that decided it.
func (s *Server) explain(c *call, o wharfoutcome.Outcome, load *wharfwire.Load) {
	if !s.Log.Enabled(wharfevents.CallUnserved) {
		return
	}
	fields := []wharfevents.Field{
		{Name: "request", Value: c.head.GetRequestId()},
		{Name: "service", Value: c.head.GetService()},
		{Name: "caller", Value: c.head.GetCaller()},
		{Name: "rank", Value: c.head.GetRank()},
		{Name: "outcome", Value: o.Kind.String()},
		{Name: "reason", Value: string(o.Reason)},
		{Name: "arrived", Value: c.arrived},
		{Name: "deadline-ms", Value: time.Until(c.deadline).Milliseconds()},
	}
	if load != nil {
		fields = append(fields,
			wharfevents.Field{Name: "target", Value: c.target.address},
			wharfevents.Field{Name: "running", Value: load.GetInFlight()},
			wharfevents.Field{Name: "queued", Value: load.GetQueued()},
			wharfevents.Field{Name: "limit", Value: load.GetLimit()},
			wharfevents.Field{Name: "pressure-ms", Value: load.GetPressureMs()})
	}
	s.Log.Emit(wharfevents.CallUnserved, fields...)
}

func (c *call) ticket(now time.Time) wharfadmission.Ticket {
	return wharfadmission.Ticket{
		ID:       c.id,
		Rank:     int(c.head.GetRank()),
		Depth:    int(c.head.GetDepth()),
		Priority: c.ticketPriority(),
		Arrived:  now,
		Deadline: c.deadline,

		Objective: time.Duration(c.head.GetObjectiveMs()) * time.Millisecond,
	}
}

// ticketPriority returns the priority that the sender gave, within what there is.
func (c *call) ticketPriority() wharfadmission.Priority {
	return wharfadmission.Priority(min(c.head.GetPriority(), uint32(wharfadmission.LevelOpen)))
}

// Calls returns the number of calls in flight.
func (s *Server) Calls() int {
	return int(s.calls.Load())
}
