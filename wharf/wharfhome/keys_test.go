package wharfhome

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
	answer := &Answer{Status: 201, Body: []byte("slot 7"), Whole: true}
	tests := []struct {
		name    string
		prepare func(k *Keys)
		body    uint64
		step    Step
		outcome wharfoutcome.Outcome
	}{
		{"new key", func(*Keys) {}, 1, Take, wharfoutcome.Outcome{}},
		{"resend while it waits", func(k *Keys) { k.Begin(epoch, id, 1, 0) }, 1, Join, wharfoutcome.Outcome{}},
		{"resend while it runs", func(k *Keys) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
		}, 1, Join, wharfoutcome.Outcome{}},
		{"resend after the answer", func(k *Keys) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.Finish(epoch, id, answer)
		}, 1, Replay, wharfoutcome.Outcome{}},
		{"answer too large to keep", func(k *Keys) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.Finish(epoch, id, &Answer{Body: make([]byte, MaxKeptBody+1), Whole: true})
		}, 1, Refuse, wharfoutcome.Outcome{Kind: wharfoutcome.Completed, Reason: wharfoutcome.ReasonAnswerNotKept}},
		{"other body", func(k *Keys) { k.Begin(epoch, id, 1, 0) }, 2, Refuse, wharfoutcome.Refuse(wharfoutcome.ReasonKeyMismatch)},
		{"answer lost", func(k *Keys) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.Lose(epoch, id)
		}, 1, Refuse, wharfoutcome.Uncertain(wharfoutcome.ReasonAnswerLost)},
		{"closed before it came", func(k *Keys) { k.Close(epoch, id, 5) }, 1, Refuse, wharfoutcome.Refuse(wharfoutcome.ReasonKeyClosed)},
		{"gained anew after it was closed", func(k *Keys) {
			k.Close(epoch, id, 5)
			is.New(t).Equal(k.Begin(epoch, id, 1, 5).Outcome.Reason, wharfoutcome.ReasonKeyClosed)
			k.Begin(epoch, id, 1, 6)
		}, 1, Join, wharfoutcome.Outcome{}},
		{"refused before dispatch", func(k *Keys) {
			k.Begin(epoch, id, 1, 0)
			k.Abandon(id)
		}, 1, Take, wharfoutcome.Outcome{}},
		{"expired", func(k *Keys) {
			k.Begin(epoch, id, 1, 0)
			k.Dispatch(epoch, id)
			k.Finish(epoch, id, answer)
			k.Expire(epoch.Add(time.Hour), time.Minute)
		}, 1, Take, wharfoutcome.Outcome{}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var k Keys
			tc.prepare(&k)
			d := k.Begin(epoch, id, tc.body, 0)
			is.Equal(d.Step, tc.step)
			is.Equal(d.Outcome, tc.outcome)
			if d.Step == Replay {
				is.Equal(d.Answer, answer)
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
		receive func(h Home, body uint64) Plan
		reason  wharfoutcome.Reason
	}{
		{"view too old", func(h Home, body uint64) Plan {
			return h.Receive(epoch, View{}, id, body, Horizon{Staleness: time.Second})
		}, wharfoutcome.ReasonHomeCatchingUp},
		{"home moved", func(h Home, body uint64) Plan {
			return h.Receive(epoch, View{Table: &Table{}, Fresh: epoch}, id, body, Horizon{Staleness: time.Second})
		}, wharfoutcome.ReasonHomeMoved},
		{"sender knows more", func(h Home, body uint64) Plan { return h.CatchUp(id, body) }, wharfoutcome.ReasonHomeCatchingUp},
	}
	steps := []struct {
		name string
		run  func(k *Keys)
		step Step
		want wharfoutcome.Kind
	}{
		{"waiting", func(k *Keys) { k.Begin(epoch, id, 1, 0) }, Refuse, wharfoutcome.NotRun},
		{"running", func(k *Keys) { k.Dispatch(epoch, id) }, Join, 0},
		{"answered", func(k *Keys) { k.Finish(epoch, id, &Answer{Whole: true}) }, Replay, 0},
	}
	for _, n := range nodes {
		t.Run(n.name, func(t *testing.T) {
			is := is.New(t)
			h := Home{Self: self, Keys: &Keys{}}
			is.Equal(n.receive(h, 1).Outcome, wharfoutcome.Refuse(n.reason))
			for _, s := range steps {
				s.run(h.Keys)
				got := n.receive(h, 1)
				is.Equal(got.Step, s.step)
				is.Equal(got.Outcome.Kind, s.want)
			}
			is.Equal(n.receive(h, 2).Outcome.Reason, wharfoutcome.ReasonKeyMismatch)
		})
	}
}

func TestCloseStopsWaitingKey(t *testing.T) {
	is := is.New(t)
	var k Keys
	id := KeyID{"s", "c", "k"}
	k.Begin(epoch, id, 1, 0)
	is.Equal(k.Close(epoch, id, 5).State, Absent)
	is.True(!k.Dispatch(epoch, id))
}

func TestCloseLeavesRunningKey(t *testing.T) {
	is := is.New(t)
	var k Keys
	id := KeyID{"s", "c", "k"}
	k.Begin(epoch, id, 1, 0)
	is.True(k.Dispatch(epoch, id))
	is.Equal(k.Close(epoch, id, 5).State, Running)
	k.Finish(epoch, id, &Answer{Status: 200, Whole: true})
	is.Equal(k.Close(epoch, id, 5).State, Done)
}

func TestOneCallerCannotFillTheTable(t *testing.T) {
	is := is.New(t)
	var k Keys
	refused := 0
	for i := range 2 * keyShards * maxKeysPerShard {
		if k.Begin(epoch, KeyID{"s", "greedy", fmt.Sprint(i)}, 1, 0).Step == Refuse {
			refused++
		}
	}
	is.True(refused > 0)
	first := k.Begin(epoch, KeyID{"s", "greedy", "0"}, 1, 0)
	is.Equal(first.Step, Join) // nothing was forgotten early
	is.Equal(k.Begin(epoch, KeyID{"s", "other", "0"}, 1, 0).Step, Take)
	is.True(k.Bytes() <= keyShards*(maxBytesPerShard+maxKeysPerShard*entryBytes))
}

func TestMintedKeysAreKeptForAShortTime(t *testing.T) {
	is := is.New(t)
	var k Keys
	for _, id := range []KeyID{{Key: "minted"}, {"s", "c", "chosen"}} {
		k.Begin(epoch, id, 1, 0)
		k.Dispatch(epoch, id)
		k.Finish(epoch, id, &Answer{Status: 200, Whole: true})
	}
	is.Equal(k.Expire(epoch.Add(mintedLife+1), time.Hour), 1)
	is.Equal(k.Begin(epoch, KeyID{"s", "c", "chosen"}, 1, 0).Step, Replay)
}

func TestImportKeepsNewer(t *testing.T) {
	is := is.New(t)
	var from, to Keys
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
	var k Keys
	answer := &Answer{Status: 200, Whole: true}
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
