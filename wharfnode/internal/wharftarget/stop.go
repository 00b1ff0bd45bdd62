package wharftarget

import (
	"errors"
	"time"

	"ragwortwharf.dev/wharfnode/wharfevents"
)

// SetStopping records that a planned stop began.
func (s *Server) SetStopping(began time.Time) {
	s.stopBegan.Store(&began)
}

// errStopped is the cancellation cause of the dispatches that a stop aborts.
var errStopped = errors.New("the node stops")

// Abort ends the dispatches that are left at the end of a stop. Their targets withdraw the calls
// that they have made for them, and the senders of the calls may send them elsewhere.
func (s *Server) Abort() {
	s.cutting.Store(true)
	s.Registry.cancelCalls(errStopped)
}

// stopFields returns the field with the time since the planned stop began, or none if
// there is no stop.
func (s *Server) stopFields() []wharfevents.Field {
	began := s.stopBegan.Load()
	if began == nil {
		return nil
	}
	return []wharfevents.Field{{Name: "since-stop-ms", Value: time.Since(*began).Milliseconds()}}
}

// end logs a call that the stop has aborted, and counts it as ended.
func (s *Server) end(c *call) {
	defer s.calls.Add(-1)
	if !s.cutting.Load() || c.served || !c.stopped && c.ctx.Err() == nil {
		return
	}
	fields := []wharfevents.Field{
		c.requestField(),
		{Name: "route", Value: c.head.GetRoute()},
		{Name: "service", Value: c.head.GetService()},
		{Name: "depth", Value: c.head.GetDepth()},
		{Name: "elapsed-ms", Value: time.Since(c.received).Milliseconds()},
		{Name: "left-ms", Value: time.Until(c.deadline).Milliseconds()},
		{Name: "place", Value: "queue"},
	}
	if c.dispatched {
		fields[len(fields)-1].Value = "target"
		fields = append(fields,
			wharfevents.Field{Name: "target", Value: c.target.address},
			wharfevents.Field{Name: "running-ms", Value: time.Since(c.dispatchedAt).Milliseconds()})
	}
	s.Log.Emit(wharfevents.CallCut, append(fields, s.stopFields()...)...)
}
