package wharfallocator

import (
	"context"
	"time"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharf/wharfroute"
)

const (
	// takeTimeout bounds the wait of a request for an allocator.
	takeTimeout = 250 * time.Millisecond
	// retryInterval is the interval at which a request that waits looks for another allocator.
	retryInterval = 50 * time.Millisecond
	// unavailableRetryAfter is the retry-after hint if no allocator responds. A new one is known
	// within a gossip round or two.
	unavailableRetryAfter = 500 * time.Millisecond
)

// Take takes a request of an account from its quota. It returns the outcome that refuses the
// request, and false, if nothing is left.
func (s *Service) Take(ctx context.Context, a *wharfroute.Account) (wharfquota.Token, wharfoutcome.Outcome, bool) {
	now := s.clock.Recent()
	var r wharfquota.Result
	if s.Leases == nil {
		r = s.shares.take(now, a)
	} else if r = s.client.Take(now, a.Name); r.Verdict == wharfquota.Pending {
		r = s.await(ctx, s.clock.Now(), a.Name)
	}
	switch r.Verdict {
	case wharfquota.Granted:
		if r.Token.OfAllowance() {
			s.Metrics.QuotaRequest("allowance")
			s.reports.allowanceUsed(now, a.Name)
			s.request(wharfquota.ShardOf(a.Name, s.Shards))
		} else {
			s.Metrics.QuotaRequest("granted")
		}
		return r.Token, wharfoutcome.Outcome{}, true
	case wharfquota.Refused:
		s.Metrics.QuotaRequest("refused")
		s.Metrics.QuotaRefused(a.Name)
		s.reports.refused(now, a.Name)
		return r.Token, wharfoutcome.Refuse(wharfoutcome.ReasonQuota).WithRetryAfter(r.RetryAfter), false
	default:
		s.Metrics.QuotaRequest("unavailable")
		s.reports.unavailable(now, a.Name)
		return r.Token, wharfoutcome.Refuse(wharfoutcome.ReasonQuotaUnavailable).WithRetryAfter(r.RetryAfter), false
	}
}

// Return gives back the token of a request that didn't reach a target.
func (s *Service) Return(a *wharfroute.Account, t wharfquota.Token) {
	now := s.clock.Recent()
	if s.Leases == nil {
		s.shares.give(now, a, t)
		return
	}
	s.client.Return(now, a.Name, t)
}

// waiter is a request that waits for an allocator.
type waiter struct {
	result chan wharfquota.Result
}

// Settle passes the verdict on.
func (w *waiter) Settle(r wharfquota.Result) {
	w.result <- r
}

// await requests a token from an allocator and waits for the verdict, for takeTimeout at most.
func (s *Service) await(ctx context.Context, now time.Time, account string) wharfquota.Result {
	w := &waiter{make(chan wharfquota.Result, 1)}
	r := s.client.Wait(now, account, w)
	if r.Verdict != wharfquota.Pending {
		return r
	}
	began := time.Now()
	defer func() { s.Metrics.QuotaWait(time.Since(began)) }()
	shard := wharfquota.ShardOf(account, s.Shards)
	s.request(shard)
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case r := <-w.result:
			return r
		case <-retry.C:
			if time.Since(began) < takeTimeout {
				s.request(shard)
				continue
			}
		case <-ctx.Done():
		}
		return s.expire(account, w)
	}
}

// expire ends the wait of a request.
func (s *Service) expire(account string, w *waiter) wharfquota.Result {
	r, waited := s.client.Expire(s.clock.Now(), account, w)
	if !waited {
		return <-w.result
	}
	if r.Verdict == wharfquota.Uncertain {
		r.RetryAfter = max(r.RetryAfter, unavailableRetryAfter)
	}
	return r
}
