package wharfallocator

import (
	"context"
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfwire"
)

const (
	// allocateTimeout bounds a request to an allocator. Nobody waits for longer.
	allocateTimeout = takeTimeout
	// misdirectedTTL is how long a node that doesn't allocate a shard isn't asked for it again, unless
	// other nodes don't claim it. Gossip brings the allocator meanwhile.
	misdirectedTTL = 200 * time.Millisecond
	// failedTTL is the same for a node that didn't respond.
	failedTTL = 50 * time.Millisecond
)

// requester sends requests to an allocator, one at a time, with the demands of all accounts whose
// requests wait.
type requester struct {
	service *Service
	holder  holder

	mu sync.Mutex
	// running is true while a request is in flight.
	running bool
	contact wharfquota.Contact
}

// request requests tokens of a shard from its allocator, unless a request to it is in flight. That
// one is followed by another.
func (s *Service) request(shard int) {
	h, ok := s.directory.holder(shard)
	if !ok {
		return
	}
	v, _ := s.requesters.LoadOrStore(h.node, &requester{service: s, holder: h})
	r := v.(*requester)
	r.mu.Lock()
	r.holder = h
	start := !r.running
	r.running = true
	r.mu.Unlock()
	switch {
	case !start:
	case h.node == s.View.Node():
		r.run()
	default:
		s.running.Go(r.run)
	}
}

// next returns the demands of the next request. Without any, the requester stops.
func (r *requester) next() (holder, []wharfquota.Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	demands := r.service.client.Demands(r.service.clock.Now(), r.holder.process(), r.service.directory.shardsOf(r.holder.node))
	r.running = len(demands) > 0
	return r.holder, demands
}

// run sends requests until no account has a request that waits.
func (r *requester) run() {
	for {
		h, demands := r.next()
		if len(demands) == 0 {
			return
		}
		r.exchange(h, demands)
	}
}

// keepContact sends a request without demands if one is due and none is in flight.
func (r *requester) keepContact(now time.Time) {
	r.mu.Lock()
	due := !r.running && r.contact.Due(now)
	h := r.holder
	r.running = r.running || due
	r.mu.Unlock()
	if due {
		r.service.running.Go(func() {
			r.exchange(h, nil)
			r.run()
		})
	}
}

// contacted changes the contact with the allocator.
func (r *requester) contacted(change func(c wharfquota.Contact) wharfquota.Contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact = change(r.contact)
}

// exchange sends one request.
func (r *requester) exchange(h holder, demands []wharfquota.Demand) {
	s, sent := r.service, r.service.clock.Now()
	number := s.sequence.Add(1)
	r.contacted(func(c wharfquota.Contact) wharfquota.Contact { return c.WithRequest(sent) })
	if h.node == s.View.Node() {
		grants := s.allocate(sent, h.node, number, demands)
		r.contacted(func(c wharfquota.Contact) wharfquota.Contact { return c.WithGrants(sent, grants) })
		s.misdirected(h, s.client.Granted(sent, sent, h.process(), demands, grants))
		return
	}
	grants, err := r.call(h, number, demands)
	if err != nil {
		s.client.Failed(s.clock.Now(), demands)
		for _, d := range demands {
			s.directory.avoid(h, wharfquota.ShardOf(d.Account, s.Shards), failedTTL)
		}
		return
	}
	r.contacted(func(c wharfquota.Contact) wharfquota.Contact { return c.WithGrants(sent, grants) })
	s.misdirected(h, s.client.Granted(s.clock.Now(), sent, h.process(), demands, grants))
}

// misdirected records that a node doesn't allocate some accounts.
func (s *Service) misdirected(h holder, accounts []string) {
	for _, a := range accounts {
		s.directory.avoid(h, wharfquota.ShardOf(a, s.Shards), misdirectedTTL)
	}
}

func (r *requester) call(h holder, number uint64, demands []wharfquota.Demand) ([]wharfquota.Grant, error) {
	client, err := r.service.Peers.Client(h.address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.service.calls, allocateTimeout)
	defer cancel()
	request := &wharfwire.AllocateRequest{From: r.service.View.Node(), Sequence: number, Demands: make([]*wharfwire.AccountDemand, len(demands))}
	for i, d := range demands {
		request.Demands[i] = &wharfwire.AccountDemand{
			Account: d.Account, Tokens: uint32(d.Tokens), Returned: uint32(d.Returned),
			GivenUpPerS: d.GivenUp, Unallocated: uint32(d.Unallocated),
		}
	}
	response, err := client.Allocate(ctx, request)
	if err != nil {
		return nil, err
	}
	grants := make([]wharfquota.Grant, len(response.GetGrants()))
	for i, g := range response.GetGrants() {
		grants[i] = wharfquota.Grant{
			Tokens: int(g.GetTokens()), RetryAfter: time.Duration(g.GetRetryAfterMs()) * time.Millisecond,
			NotAllocator: g.GetNotAllocator(), Uncertain: g.GetUncertain(),
			Allowance: r.service.allowance(g.GetAllowancePerS(), g.GetAllowanceMs()),
		}
	}
	return grants, nil
}
