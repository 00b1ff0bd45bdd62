package wharfcluster

import (
	"context"
	"slices"
	"time"

	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstate"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// ownershipInterval is how often the owned and the served services are
	// compared.
	ownershipInterval = 200 * time.Millisecond
	// applyTimeout bounds the wait until an appended record is applied to the
	// state of this node.
	applyTimeout = 3 * time.Second
	// maxAppendPause bounds the exponential backoff between appends.
	maxAppendPause = 10 * time.Second
	// handOverBatch bounds the number of key entries in one message.
	handOverBatch = 128
)

// ownership keeps the ownership of keys up to date with the targets of the node.
type ownership struct {
	agent *Agent
}

func (o *ownership) run(ctx context.Context) {
	pause := ownershipInterval
	for wharftimer.Sleep(ctx, pause) && !o.agent.releasing.Load() {
		o.startNewIncarnation()
		served, owned := o.agent.served(), o.agent.owned()
		// The node keeps the keys of a service that has no target here any
		// more: the target may announce itself again, and until then the node
		// refuses requests with these keys.
		if len(served) == 0 || slices.Equal(served, owned) || isSubset(served, owned) {
			pause = ownershipInterval
			continue
		}
		if o.announceOwnership(ctx, mergeNames(served, owned)) {
			pause = ownershipInterval
		} else {
			pause = min(2*pause, maxAppendPause)
		}
	}
}

// startNewIncarnation raises the incarnation of this node if it was evicted while
// it was running. The evicted incarnation never owns keys again.
func (o *ownership) startNewIncarnation() {
	if !o.agent.View.State().Ownership().HasEnded(o.agent.View.Self()) {
		return
	}
	o.agent.UpdateSelf(func(self wharfmember.Member) wharfmember.Member {
		self.Incarnation++
		return self
	})
	o.agent.Log.Emit(wharfevents.IncarnationRaised, wharfevents.Field{Name: "incarnation", Value: o.agent.View.Incarnation()})
}

// announceOwnership appends the record to the log that makes this node an owner of
// keys of the services. It reports whether the record shows in the state in time.
func (o *ownership) announceOwnership(ctx context.Context, services []string) bool {
	self := o.agent.View.Self()
	record := wharfidempotency.OwnershipRecord{
		Kind: wharfidempotency.Announce, Node: self.Node, Incarnation: self.Incarnation,
		Address: self.Address, Services: services,
	}
	if !o.agent.appendOwnership(ctx, record, func() bool { return isSubset(services, o.agent.owned()) }) {
		return false
	}
	o.agent.Log.Emit(wharfevents.OwnershipTaken, wharfevents.Field{Name: "services", Value: services})
	return true
}

// served returns the services that have a target here that isn't leaving.
func (a *Agent) served() []string {
	var out []string
	for _, t := range a.Registry.Announced() {
		if !t.Leaving && !slices.Contains(out, t.Service) {
			out = append(out, t.Service)
		}
	}
	slices.Sort(out)
	return out
}

func (a *Agent) owned() []string {
	return a.View.State().Ownership().OwnedBy(a.View.Self())
}

func isSubset(part, whole []string) bool {
	return !slices.ContainsFunc(part, func(s string) bool { return !slices.Contains(whole, s) })
}

func mergeNames(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// appendOwnership appends an ownership record to the log and waits until applied
// reports that the record shows in the state. It reports whether that happened in
// time. A record may be appended twice without harm, so the caller retries after
// a lost response.
func (a *Agent) appendOwnership(ctx context.Context, record wharfidempotency.OwnershipRecord, applied func() bool) bool {
	data, err := wharfstate.Envelope{Ownership: &record}.Encode()
	if err != nil {
		return false
	}
	_, err = a.LogClient.Append(ctx, wharfstate.StateStream, data)
	a.Metrics.LogAppend(wharfstate.StateStream, resultName(err))
	if err != nil {
		a.Log.Emit(wharfevents.AppendUncertain, wharfevents.ErrorField(err))
	}
	return a.awaitState(ctx, applyTimeout, applied)
}

func resultName(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// awaitState waits until a condition on the view holds. It reports false if the
// timeout expires or the context ends first.
func (a *Agent) awaitState(ctx context.Context, timeout time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		changed := a.View.Changed()
		if holds() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// ReleaseOwnership ends the ownership of this node at a planned stop, sends its
// key entries to the next owners, and then records the hand-over in the log. It
// fails if the context ends before the release shows in the state, or if one of
// the later steps fails.
func (a *Agent) ReleaseOwnership(ctx context.Context) error {
	a.releasing.Store(true)
	if len(a.owned()) == 0 {
		return nil
	}
	self := a.View.Self()
	record := wharfidempotency.OwnershipRecord{Kind: wharfidempotency.Release, Node: self.Node, Incarnation: self.Incarnation}
	for !a.appendOwnership(ctx, record, func() bool { return len(a.owned()) == 0 }) {
		if ctx.Err() != nil {
			return oops.Code("release").Errorf("the release could not be written to the log in time")
		}
	}
	a.Log.Emit(wharfevents.OwnershipEnded)
	if err := a.handOver(ctx); err != nil {
		return err
	}
	// After this record, the next owners no longer consult this node before they
	// run a key that it owned.
	record.Kind = wharfidempotency.HandedOver
	data, err := wharfstate.Envelope{Ownership: &record}.Encode()
	if err != nil {
		return err
	}
	_, err = a.LogClient.Append(ctx, wharfstate.StateStream, data)
	return err
}

// handOver sends each key entry to the present owner of its key.
func (a *Agent) handOver(ctx context.Context) error {
	batches := map[string][]*wharfwire.KeyRecord{}
	now := time.Now()
	table := a.View.Ownership().Table
	for _, x := range a.Keys.Export() {
		if x.ID.Service == "" {
			continue // Keys that this node generated belong to this node alone.
		}
		next, ok := table.Owner(x.ID.Service, x.ID.Key)
		if !ok {
			return oops.Code("hand-over").Errorf("service %s has no other owner", x.ID.Service)
		}
		batches[next.Address] = append(batches[next.Address], packKey(now, x))
	}
	handed := 0
	for address, records := range batches {
		for batch := range slices.Chunk(records, handOverBatch) {
			if err := a.sendKeys(ctx, address, batch); err != nil {
				return err
			}
			handed += len(batch)
		}
	}
	a.Log.Emit(wharfevents.KeysHandedOver, wharfevents.Field{Name: "keys", Value: handed})
	return nil
}

func (a *Agent) sendKeys(ctx context.Context, address string, records []*wharfwire.KeyRecord) error {
	client, err := a.Peers.Client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = client.HandOver(ctx, &wharfwire.HandOverRequest{From: a.View.Node(), Records: records})
	if err != nil {
		return oops.Code("hand-over").Wrap(err)
	}
	return nil
}

func packKey(now time.Time, x wharfidempotency.ExportedKey) *wharfwire.KeyRecord {
	return &wharfwire.KeyRecord{
		Service: x.ID.Service, Caller: x.ID.Caller, Key: x.ID.Key,
		State: uint32(x.Entry.State), Fingerprint: x.Entry.Fingerprint,
		Answer: wharftarget.PackResponse(x.Entry.Response), AgeMs: now.Sub(x.Entry.Changed).Milliseconds(),
	}
}
