package wharfidempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

var startTime = time.Unix(1_000_000, 0)

func TestKeyStates(t *testing.T) {
	id := KeyID{"bookings", "caller", "k"}
	response := &Response{Status: 201, Body: []byte("slot 7"), Complete: true}
	tests := []struct {
		name        string
		prepare     func(k *KeyStore)
		fingerprint uint64
		action      Action
		outcome     wharfoutcome.Outcome
	}{
		{"new key", func(*KeyStore) {}, 1, Proceed, wharfoutcome.Outcome{}},
		{"resend while it waits", func(k *KeyStore) { k.Begin(startTime, id, 1, 0) }, 1, Join, wharfoutcome.Outcome{}},
		{"resend while it runs", func(k *KeyStore) {
			k.Begin(startTime, id, 1, 0)
			k.Dispatch(startTime, id)
		}, 1, Join, wharfoutcome.Outcome{}},
		{"resend after the response", func(k *KeyStore) {
			k.Begin(startTime, id, 1, 0)
			k.Dispatch(startTime, id)
			k.Finish(startTime, id, response)
		}, 1, Replay, wharfoutcome.Outcome{}},
		{"response too large to store", func(k *KeyStore) {
			k.Begin(startTime, id, 1, 0)
			k.Dispatch(startTime, id)
			k.Finish(startTime, id, &Response{Body: make([]byte, MaxStoredBody+1), Complete: true})
		}, 1, Refuse, wharfoutcome.Outcome{Kind: wharfoutcome.Completed, Reason: wharfoutcome.ReasonResponseNotStored}},
		{"other fingerprint", func(k *KeyStore) { k.Begin(startTime, id, 1, 0) }, 2, Refuse, wharfoutcome.Refuse(wharfoutcome.ReasonKeyMismatch)},
		{"response lost", func(k *KeyStore) {
			k.Begin(startTime, id, 1, 0)
			k.Dispatch(startTime, id)
			k.MarkLost(startTime, id)
		}, 1, Refuse, wharfoutcome.Uncertain(wharfoutcome.ReasonResponseLost)},
		{"closed before the first send", func(k *KeyStore) { k.Close(startTime, id, 5) }, 1, Refuse, wharfoutcome.Refuse(wharfoutcome.ReasonKeyClosed)},
		{"owned again after it was closed", func(k *KeyStore) {
			k.Close(startTime, id, 5)
			is.New(t).Equal(k.Begin(startTime, id, 1, 5).Outcome.Reason, wharfoutcome.ReasonKeyClosed)
			k.Begin(startTime, id, 1, 6)
		}, 1, Join, wharfoutcome.Outcome{}},
		{"refused before dispatch", func(k *KeyStore) {
			k.Begin(startTime, id, 1, 0)
			k.Abandon(id)
		}, 1, Proceed, wharfoutcome.Outcome{}},
		{"expired", func(k *KeyStore) {
			k.Begin(startTime, id, 1, 0)
			k.Dispatch(startTime, id)
			k.Finish(startTime, id, response)
			k.Expire(startTime.Add(time.Hour), time.Minute)
		}, 1, Proceed, wharfoutcome.Outcome{}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var k KeyStore
			tc.prepare(&k)
			d := k.Begin(startTime, id, tc.fingerprint, 0)
			is.Equal(d.Action, tc.action)
			is.Equal(d.Outcome, tc.outcome)
			if d.Action == Replay {
				is.Equal(d.Response, response)
			}
		})
	}
}

// TestNonOwnerReportsDispatchedKeys guards against a node that reports a key as
// not run although it dispatched the key. This could happen when the node may no
// longer run the key, because its view is stale or another node is the owner.
func TestNonOwnerReportsDispatchedKeys(t *testing.T) {
	id := KeyID{"bookings", "caller", "k"}
	self := Owner{Node: "n", Incarnation: 1}
	cases := []struct {
		name    string
		receive func(d Deduplicator, fingerprint uint64) Plan
		reason  wharfoutcome.Reason
	}{
		{"stale view", func(d Deduplicator, fingerprint uint64) Plan {
			return d.Decide(startTime, OwnershipView{}, id, fingerprint, DedupWindow{Staleness: time.Second})
		}, wharfoutcome.ReasonOwnerCatchingUp},
		{"other owner", func(d Deduplicator, fingerprint uint64) Plan {
			return d.Decide(startTime, OwnershipView{Table: &OwnershipTable{}, ConfirmedAt: startTime}, id, fingerprint, DedupWindow{Staleness: time.Second})
		}, wharfoutcome.ReasonOwnerMoved},
		{"sender has read more of the log", func(d Deduplicator, fingerprint uint64) Plan { return d.DecideStale(id, fingerprint) }, wharfoutcome.ReasonOwnerCatchingUp},
	}
	steps := []struct {
		name   string
		run    func(k *KeyStore)
		action Action
		want   wharfoutcome.Kind
	}{
		{"waiting", func(k *KeyStore) { k.Begin(startTime, id, 1, 0) }, Refuse, wharfoutcome.NotRun},
		{"running", func(k *KeyStore) { k.Dispatch(startTime, id) }, Join, 0},
		{"answered", func(k *KeyStore) { k.Finish(startTime, id, &Response{Complete: true}) }, Replay, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Deduplicator{Self: self, Keys: &KeyStore{}}
			is.Equal(c.receive(d, 1).Outcome, wharfoutcome.Refuse(c.reason))
			for _, s := range steps {
				s.run(d.Keys)
				got := c.receive(d, 1)
				is.Equal(got.Action, s.action)
				is.Equal(got.Outcome.Kind, s.want)
			}
			is.Equal(c.receive(d, 2).Outcome.Reason, wharfoutcome.ReasonKeyMismatch)
		})
	}
}

func TestCloseStopsWaitingKey(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	id := KeyID{"s", "c", "k"}
	k.Begin(startTime, id, 1, 0)
	is.Equal(k.Close(startTime, id, 5).State, Absent)
	is.True(!k.Dispatch(startTime, id))
}

func TestCloseLeavesRunningKey(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	id := KeyID{"s", "c", "k"}
	k.Begin(startTime, id, 1, 0)
	is.True(k.Dispatch(startTime, id))
	is.Equal(k.Close(startTime, id, 5).State, Running)
	k.Finish(startTime, id, &Response{Status: 200, Complete: true})
	is.Equal(k.Close(startTime, id, 5).State, Done)
}

// TestOneCallerCannotFillTheTable guards against a caller that sends many new keys
// and thereby causes the keys of other callers to be refused.
func TestOneCallerCannotFillTheTable(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	refused := 0
	for i := range 2 * keyShards * maxKeysPerShard {
		if k.Begin(startTime, KeyID{"s", "greedy", fmt.Sprint(i)}, 1, 0).Action == Refuse {
			refused++
		}
	}
	is.True(refused > 0)
	first := k.Begin(startTime, KeyID{"s", "greedy", "0"}, 1, 0)
	is.Equal(first.Action, Join) // no key was deleted early
	is.Equal(k.Begin(startTime, KeyID{"s", "other", "0"}, 1, 0).Action, Proceed)
	is.True(k.Bytes() <= keyShards*(maxBytesPerShard+maxKeysPerShard*entryBytes))
}

// TestGeneratedKeysExpireEarly checks that a generated key expires after
// generatedKeyTTL and a key of a caller only after the retention.
func TestGeneratedKeysExpireEarly(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	for _, id := range []KeyID{{Key: "minted"}, {"s", "c", "chosen"}} {
		k.Begin(startTime, id, 1, 0)
		k.Dispatch(startTime, id)
		k.Finish(startTime, id, &Response{Status: 200, Complete: true})
	}
	is.Equal(k.Expire(startTime.Add(generatedKeyTTL+1), time.Hour), 1)
	is.Equal(k.Begin(startTime, KeyID{"s", "c", "chosen"}, 1, 0).Action, Replay)
}

// TestImportMarksRunningKeyAsLost guards against a second run of a key that was
// still running when its owner handed its entries over.
func TestImportMarksRunningKeyAsLost(t *testing.T) {
	is := is.New(t)
	var from, to KeyStore
	id := KeyID{"s", "c", "k"}
	from.Begin(startTime, id, 1, 0)
	from.Dispatch(startTime, id)
	exported := from.Export()
	is.Equal(len(exported), 1)
	to.Import(exported[0])
	is.Equal(to.Begin(startTime, id, 1, 0).Outcome.Kind, wharfoutcome.Unknown) // it was still running at the hand-over
}

func BenchmarkKeys(b *testing.B) {
	b.ReportAllocs()
	var k KeyStore
	response := &Response{Status: 200, Complete: true}
	for i := 0; b.Loop(); i++ {
		id := KeyID{"s", "c", fmt.Sprint(i)}
		k.Begin(startTime, id, 1, 0)
		k.Dispatch(startTime, id)
		k.Finish(startTime, id, response)
		if i%10_000 == 0 {
			k.Expire(startTime.Add(time.Hour), time.Minute)
		}
	}
}
