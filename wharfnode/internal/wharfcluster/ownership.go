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
	// ownershipInterval is how often owned and served services are compared.
	ownershipInterval = 200 * time.Millisecond
	// foldWait is how long an append may take to come back from the log.
	foldWait = 3 * time.Second
	// maxAppendPause bounds the pause between attempts at an append.
	maxAppendPause = 10 * time.Second
	// handOverBatch is the number of records in one message.
	handOverBatch = 128
)

// ownership keeps the ownership of keys in step with the targets of the node.
type ownership struct {
	mesh *Agent
}

func (o *ownership) run(ctx context.Context) {
	pause := ownershipInterval
	for wharftimer.Sleep(ctx, pause) && !o.mesh.releasing.Load() {
		o.startNewIncarnation()
		served, owned := o.mesh.served(), o.mesh.owned()
		// A service without target keeps its keys here: the target may come
		// back, and until then the home refuses.
		if len(served) == 0 || slices.Equal(served, owned) || isSubset(served, owned) {
			pause = ownershipInterval
			continue
		}
		if o.announce(ctx, mergeNames(served, owned)) {
			pause = ownershipInterval
		} else {
			pause = min(2*pause, maxAppendPause)
		}
	}
}

// startNewIncarnation raises the incarnation of a node that was evicted although it
// lives. Its earlier life never owns keys again.
func (o *ownership) startNewIncarnation() {
	if !o.mesh.View.State().Ownership().HasEnded(o.mesh.View.Self()) {
		return
	}
	o.mesh.UpdateSelf(func(self wharfmember.Member) wharfmember.Member {
		self.Incarnation++
		return self
	})
	o.mesh.Log.Emit(wharfevents.IncarnationRaised, wharfevents.Field{Name: "incarnation", Value: o.mesh.View.Incarnation()})
}

func (o *ownership) announce(ctx context.Context, services []string) bool {
	self := o.mesh.View.Self()
	record := wharfidempotency.OwnershipRecord{
		Kind: wharfidempotency.Announce, Node: self.Node, Incarnation: self.Incarnation,
		Address: self.Address, Services: services,
	}
	if !o.mesh.appendOwnership(ctx, record, func() bool { return isSubset(services, o.mesh.owned()) }) {
		return false
	}
	o.mesh.Log.Emit(wharfevents.OwnershipTaken, wharfevents.Field{Name: "services", Value: services})
	return true
}

// served returns the services that have a target here, leaving ones left out.
func (m *Agent) served() []string {
	var out []string
	for _, t := range m.Registry.Announced() {
		if !t.Leaving && !slices.Contains(out, t.Service) {
			out = append(out, t.Service)
		}
	}
	slices.Sort(out)
	return out
}

func (m *Agent) owned() []string {
	return m.View.State().Ownership().OwnedBy(m.View.Self())
}

func isSubset(part, whole []string) bool {
	return !slices.ContainsFunc(part, func(s string) bool { return !slices.Contains(whole, s) })
}

func mergeNames(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// appendOwnership writes an ownership record and waits until it shows in the state.
// Writing it twice does no harm, so a lost answer is simply tried again.
func (m *Agent) appendOwnership(ctx context.Context, record wharfidempotency.OwnershipRecord, folded func() bool) bool {
	data, err := wharfstate.Envelope{Ownership: &record}.Encode()
	if err != nil {
		return false
	}
	_, err = m.Platform.Append(ctx, wharfstate.Stream, data)
	m.Metrics.LogAppend(wharfstate.Stream, resultName(err))
	if err != nil {
		m.Log.Emit(wharfevents.AppendUncertain, wharfevents.ErrorField(err))
	}
	return m.awaitState(ctx, foldWait, folded)
}

func resultName(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// awaitState waits until a condition on the view holds.
func (m *Agent) awaitState(ctx context.Context, limit time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		changed := m.View.Changed()
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

// ReleaseOwnership ends the ownership of this node at a planned stop, and gives its
// records to the next homes.
func (m *Agent) ReleaseOwnership(ctx context.Context) error {
	m.releasing.Store(true)
	if len(m.owned()) == 0 {
		return nil
	}
	self := m.View.Self()
	record := wharfidempotency.OwnershipRecord{Kind: wharfidempotency.Release, Node: self.Node, Incarnation: self.Incarnation}
	for !m.appendOwnership(ctx, record, func() bool { return len(m.owned()) == 0 }) {
		if ctx.Err() != nil {
			return oops.Code("release").Errorf("the release could not be written to the log in time")
		}
	}
	m.Log.Emit(wharfevents.OwnershipEnded)
	if err := m.handOver(ctx); err != nil {
		return err
	}
	record.Kind = wharfidempotency.HandedOver
	data, err := wharfstate.Envelope{Ownership: &record}.Encode()
	if err != nil {
		return err
	}
	_, err = m.Platform.Append(ctx, wharfstate.Stream, data)
	return err
}

// handOver sends each record to the home that its key has now.
func (m *Agent) handOver(ctx context.Context) error {
	batches := map[string][]*wharfwire.KeyRecord{}
	now := time.Now()
	homes := m.View.Ownership().Table
	for _, x := range m.Keys.Export() {
		if x.ID.Service == "" {
			continue // Minted keys belong to this node alone.
		}
		next, ok := homes.Owner(x.ID.Service, x.ID.Key)
		if !ok {
			return oops.Code("hand-over").Errorf("service %s has no other home", x.ID.Service)
		}
		batches[next.Address] = append(batches[next.Address], packKey(now, x))
	}
	handed := 0
	for address, records := range batches {
		for batch := range slices.Chunk(records, handOverBatch) {
			if err := m.sendKeys(ctx, address, batch); err != nil {
				return err
			}
			handed += len(batch)
		}
	}
	m.Log.Emit(wharfevents.KeysHandedOver, wharfevents.Field{Name: "keys", Value: handed})
	return nil
}

func (m *Agent) sendKeys(ctx context.Context, address string, records []*wharfwire.KeyRecord) error {
	client, err := m.Peers.Client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = client.HandOver(ctx, &wharfwire.HandOverRequest{From: m.View.Node(), Records: records})
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
