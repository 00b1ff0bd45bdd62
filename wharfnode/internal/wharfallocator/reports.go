package wharfallocator

import (
	"sync"
	"time"

	"ragwortwharf.dev/wharf/wharfquota"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// reportInterval is the least time between two log lines about the same account.
const reportInterval = 10 * time.Second

// reports logs refusals and requests without an allocator, a line for many requests.
type reports struct {
	log wharfevents.Log

	shards [wharfquota.DefaultShards]reportShard
}

type reportShard struct {
	mu   sync.Mutex
	last map[reportKey]*report
}

type reportKey struct {
	event   int
	account string
}

type report struct {
	at       time.Time
	requests int
}

// refused counts a request beyond the quota of an account.
func (r *reports) refused(now time.Time, account string) {
	r.count(now, wharfevents.AccountOverQuota, account)
}

// unavailable counts a request for which no allocator responded, or none that knows what is left.
func (r *reports) unavailable(now time.Time, account string) {
	r.count(now, wharfevents.QuotaUnavailable, account)
}

// allowanceUsed counts a request that was sent within the node's allowance, without an allocator.
func (r *reports) allowanceUsed(now time.Time, account string) {
	r.count(now, wharfevents.QuotaAllowanceUsed, account)
}

func (r *reports) count(now time.Time, e wharfevents.Event, account string) {
	s := &r.shards[wharfquota.ShardOf(account, len(r.shards))]
	s.mu.Lock()
	if s.last == nil {
		s.last = map[reportKey]*report{}
	}
	key := reportKey{e.Number, account}
	last, ok := s.last[key]
	if !ok {
		last = &report{}
		s.last[key] = last
	}
	last.requests++
	requests := last.requests
	due := last.at.IsZero() || now.Sub(last.at) >= reportInterval
	if due {
		last.at, last.requests = now, 0
	}
	s.mu.Unlock()
	if due {
		r.log.Emit(e,
			wharfevents.Field{Name: "account", Value: account},
			wharfevents.Field{Name: "requests", Value: requests})
	}
}
