package wharfallocator

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharftimer"
)

// allowancesInterval is the interval at which the node checks whether it must contact an allocator or
// charge silent nodes. It is a quarter of the interval of the contacts.
const allowancesInterval = 100 * time.Millisecond

// allowances keeps the contact with the allocators whose allowances this node has, and charges the
// buckets of this node for those of nodes that can't reach it.
type allowances struct {
	service *Service
}

func (a *allowances) run(ctx context.Context) {
	interval := idleInterval
	for wharftimer.Sleep(ctx, interval) {
		interval = idleInterval
		if a.service.View.State().Routes().QuotasLimited() {
			interval = allowancesInterval
			a.tick()
		}
	}
}

func (a *allowances) tick() {
	s := a.service
	now := s.clock.Now()
	s.allocator.Charge(now)
	s.requesters.Range(func(_, v any) bool {
		v.(*requester).keepContact(now)
		return true
	})
}
