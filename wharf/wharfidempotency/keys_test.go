package wharfidempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharfoutcome"
)

var epoch = time.Unix(1_000_000, 0)

func TestKeyStates(t *testing.T) {
	id := KeyID{"bookings", "caller", "k"}
	answer := &Response{Status: 201, Body: []byte("slot 7"), Complete: true}
	tests := []struct {
		name    string
		prepare func(k *KeyStore)
		body    uint64
		step    Action
		outcome wharfoutcome.Outcome
	}{
		{"new key", func(*KeyStore) {}, 1, Proceed, wharfoutcome.Outcome{}},
		{"resend while it waits", func(k *KeyStore) { k.Begin(epoch, id, 1, 0) }, 1, Join, wharfoutcome.Outcome{}},
		{"resend while it runs", func(k *KeyStore) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
		}, 1, Join, wharfoutcome.Outcome{}},
		{"resend after the answer", func(k *KeyStore) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.Finish(epoch, id, answer)
		}, 1, Replay, wharfoutcome.Outcome{}},
		{"answer too large to keep", func(k *KeyStore) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.Finish(epoch, id, &Response{Body: make([]byte, MaxStoredBody+1), Complete: true})
		}, 1, Refuse, wharfoutcome.Outcome{Kind: wharfoutcome.Completed, Reason: wharfoutcome.ReasonAnswerNotKept}},
		{"other body", func(k *KeyStore) { k.Begin(epoch, id, 1, 0) }, 2, Refuse, wharfoutcome.Refuse(wharfoutcome.ReasonKeyMismatch)},
		{"answer lost", func(k *KeyStore) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.MarkLost(epoch, id)
		}, 1, Refuse, wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost)},
		{"closed before it came", func(k *KeyStore) { k.Close(epoch, id, 5) }, 1, Refuse, wharfoutcome.Refuse(wharfoutcome.ReasonKeyClosed)},
		{"gained anew after it was closed", func(k *KeyStore) {
			k.Close(epoch, id, 5)
			is.New(t).Equal(k.Begin(epoch, id, 1, 5).Outcome.Reason, wharfoutcome.ReasonKeyClosed)
			k.Begin(epoch, id, 1, 6)
		}, 1, Join, wharfoutcome.Outcome{}},
		{"refused before dispatch", func(k *KeyStore) {
			k.Begin(epoch, id, 1, 0)
			k.Abandon(id)
		}, 1, Proceed, wharfoutcome.Outcome{}},
		{"expired", func(k *KeyStore) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.Finish(epoch, id, answer)
			k.Expire(epoch.Add(time.Hour), time.Minute)
		}, 1, Proceed, wharfoutcome.Outcome{}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var k KeyStore
			tc.prepare(&k)
			d := k.Begin(epoch, id, tc.body, 0)
			is.Equal(d.Action, tc.step)
			is.Equal(d.Outcome, tc.outcome)
			if d.Action == Replay {
				is.Equal(d.Response, answer)
			}
		})
	}
}

// TestHomeTellsWhatItRan asks nodes that may not take a key: for one that they
// have dispatched, they know better than to say that it didn't run.
func TestHomeTellsWhatItRan(t *testing.T) {
	id := KeyID{"bookings", "caller", "k"}
	self := Owner{Node: "n", Incarnation: 1}
	nodes := []struct {
		name    string
		receive func(h Deduplicator, body uint64) Plan
		reason  wharfoutcome.Reason
	}{
		{"view too old", func(h Deduplicator, body uint64) Plan {
			return h.Decide(epoch, OwnershipView{}, id, body, DedupWindow{Staleness: time.Second})
		}, wharfoutcome.ReasonHomeCatchingUp},
		{"home moved", func(h Deduplicator, body uint64) Plan {
			return h.Decide(epoch, OwnershipView{Table: &OwnershipTable{}, ConfirmedAt: epoch}, id, body, DedupWindow{Staleness: time.Second})
		}, wharfoutcome.ReasonHomeMoved},
		{"sender knows more", func(h Deduplicator, body uint64) Plan { return h.DecideStale(id, body) }, wharfoutcome.ReasonHomeCatchingUp},
	}
	steps := []struct {
		name string
		run  func(k *KeyStore)
		step Action
		want wharfoutcome.Kind
	}{
		{"waiting", func(k *KeyStore) { k.Begin(epoch, id, 1, 0) }, Refuse, wharfoutcome.NotRun},
		{"running", func(k *KeyStore) { k.Dispatch(epoch, id) }, Join, 0},
		{"answered", func(k *KeyStore) { k.Finish(epoch, id, &Response{Complete: true}) }, Replay, 0},
	}
	for _, n := range nodes {
		t.Run(n.name, func(t *testing.T) {
			is := is.New(t)
			h := Deduplicator{Self: self, Keys: &KeyStore{}}
			is.Equal(n.receive(h, 1).Outcome, wharfoutcome.Refuse(n.reason))
			for _, s := range steps {
				s.run(h.Keys)
				got := n.receive(h, 1)
				is.Equal(got.Action, s.step)
				is.Equal(got.Outcome.Kind, s.want)
			}
			is.Equal(n.receive(h, 2).Outcome.Reason, wharfoutcome.ReasonKeyMismatch)
		})
	}
}

func TestCloseStopsWaitingKey(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	id := KeyID{"s", "c", "k"}
	k.Begin(epoch, id, 1, 0)
	is.Equal(k.Close(epoch, id, 5).State, Absent)
	is.True(!k.Dispatch(epoch, id))
}

func TestCloseLeavesRunningKey(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	id := KeyID{"s", "c", "k"}
	k.Begin(epoch, id, 1, 0)
	is.True(k.Dispatch(epoch, id))
	is.Equal(k.Close(epoch, id, 5).State, Running)
	k.Finish(epoch, id, &Response{Status: 200, Complete: true})
	is.Equal(k.Close(epoch, id, 5).State, Done)
}

func TestOneCallerCannotFillTheTable(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	refused := 0
	for i := range 2 * keyShards * maxKeysPerShard {
		if k.Begin(epoch, KeyID{"s", "greedy", fmt.Sprint(i)}, 1, 0).Action == Refuse {
			refused++
		}
	}
	is.True(refused > 0)
	first := k.Begin(epoch, KeyID{"s", "greedy", "0"}, 1, 0)
	is.Equal(first.Action, Join) // nothing was forgotten early
	is.Equal(k.Begin(epoch, KeyID{"s", "other", "0"}, 1, 0).Action, Proceed)
	is.True(k.Bytes() <= keyShards*(maxBytesPerShard+maxKeysPerShard*entryBytes))
}

func TestMintedKeysAreKeptForAShortTime(t *testing.T) {
	is := is.New(t)
	var k KeyStore
	for _, id := range []KeyID{{Key: "minted"}, {"s", "c", "chosen"}} {
		k.Begin(epoch, id, 1, 0)
		k.Dispatch(epoch, id)
		k.Finish(epoch, id, &Response{Status: 200, Complete: true})
	}
	is.Equal(k.Expire(epoch.Add(generatedKeyTTL+1), time.Hour), 1)
	is.Equal(k.Begin(epoch, KeyID{"s", "c", "chosen"}, 1, 0).Action, Replay)
}

func TestImportKeepsNewer(t *testing.T) {
	is := is.New(t)
	var from, to KeyStore
	id := KeyID{"s", "c", "k"}
	from.Begin(epoch, id, 1, 0)
	from.Dispatch(epoch, id)
	exported := from.Export()
	is.Equal(len(exported), 1)
	to.Import(exported[0])
	is.Equal(to.Begin(epoch, id, 1, 0).Outcome.Kind, wharfoutcome.Unknown) // it still ran when it was handed over
}

func BenchmarkKeys(b *testing.B) {
	b.ReportAllocs()
	var k KeyStore
	answer := &Response{Status: 200, Complete: true}
	for i := 0; b.Loop(); i++ {
		id := KeyID{"s", "c", fmt.Sprint(i)}
		k.Begin(epoch, id, 1, 0)
		k.Dispatch(epoch, id)
		k.Finish(epoch, id, answer)
		if i%10_000 == 0 {
			k.Expire(epoch.Add(time.Hour), time.Minute)
		}
	}
}
