package wharfidempotency

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

const service = "bookings"

var window = DedupWindow{Resend: 10 * time.Minute, Skew: 2 * time.Second, Staleness: 15 * time.Minute}

// logRecords returns the records with consecutive log offsets, one minute apart.
func logRecords(records ...OwnershipRecord) []LoggedRecord {
	out := make([]LoggedRecord, len(records))
	for i, r := range records {
		out[i] = LoggedRecord{r, uint64(i + 1), startTime.Add(time.Duration(i) * time.Minute)}
	}
	return out
}

func announced(node string, incarnation uint64) OwnershipRecord {
	return OwnershipRecord{Kind: Announce, Node: node, Incarnation: incarnation, Services: []string{service}}
}

// keyOwnedBy returns a key that node owns if the nodes are the owners.
func keyOwnedBy(node string, nodes ...string) string {
	var owners []Owner
	for _, n := range nodes {
		owners = append(owners, Owner{Node: n})
	}
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if o, _ := rendezvous(owners, key); o.Node == node {
			return key
		}
	}
}

func TestResolve(t *testing.T) {
	moved := keyOwnedBy("b", "a", "b")
	tests := []struct {
		name           string
		records        []OwnershipRecord
		after          time.Duration
		key            string
		owner          string
		previousOwners int
		entriesLost    bool
	}{
		{"first owner", []OwnershipRecord{announced("a", 1)}, 0, moved, "a", 0, false},
		{"second owner joins", []OwnershipRecord{announced("a", 1), announced("b", 1)}, 0, moved, "b", 1, false},
		{"after the resend window, previous owner may be stale", []OwnershipRecord{announced("a", 1), announced("b", 1)}, 20 * time.Minute, moved, "b", 1, false},
		{"after resend window and staleness", []OwnershipRecord{announced("a", 1), announced("b", 1)}, 26 * time.Minute, moved, "b", 0, false},
		{"restart, after the resend window", []OwnershipRecord{announced("a", 1), announced("a", 2)}, 11 * time.Minute, moved, "a", 0, false},
		{"key keeps its owner", []OwnershipRecord{announced("a", 1), announced("b", 1)}, 0, keyOwnedBy("a", "a", "b"), "a", 0, false},
		{"restart without hand-over", []OwnershipRecord{announced("a", 1), announced("a", 2)}, 0, moved, "a", 0, true},
		{"restart after hand-over", []OwnershipRecord{
			announced("a", 1), announced("b", 1),
			{Kind: Release, Node: "b", Incarnation: 1}, {Kind: HandedOver, Node: "b", Incarnation: 1},
		}, 0, moved, "a", 0, false},
		{"released, not yet handed over", []OwnershipRecord{
			announced("a", 1), announced("b", 1), {Kind: Release, Node: "b", Incarnation: 1},
		}, 0, moved, "a", 1, false},
		{"evicted", []OwnershipRecord{
			announced("a", 1), announced("b", 1), {Kind: Evict, Node: "b", Incarnation: 1, By: "ops"},
		}, 0, moved, "a", 1, false},
		{"released incarnation announces again", []OwnershipRecord{
			announced("a", 1), announced("b", 1), {Kind: Release, Node: "b", Incarnation: 1}, announced("b", 1),
		}, 0, moved, "a", 1, false},
		{"older incarnation announces late", []OwnershipRecord{announced("a", 2), announced("a", 1)}, 0, moved, "a", 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			records := logRecords(tc.records...)
			table := Restore((*OwnershipTable)(nil).WithRecords(records).Save())
			now := records[len(records)-1].Time.Add(tc.after)
			r, ok := table.Resolve(now, service, tc.key, window)
			is.True(ok)
			is.Equal(r.Owner.Node, tc.owner)
			is.Equal(len(r.PreviousOwners), tc.previousOwners)
			is.Equal(r.EntriesLost, tc.entriesLost)
		})
	}
}

// TestKeyNewerThanRestartIsNotLost checks that a UUIDv7 key that was generated
// after the restart of its owner may run although the entries of the earlier
// incarnation are lost.
func TestKeyNewerThanRestartIsNotLost(t *testing.T) {
	is := is.New(t)
	table := (*OwnershipTable)(nil).WithRecords(logRecords(announced("a", 1), announced("a", 2)))
	restart := startTime.Add(time.Minute)
	for _, tc := range []struct {
		name        string
		after       time.Duration
		entriesLost bool
	}{
		{"generated long after the restart", 10 * time.Second, false},
		{"generated within the clock skew", time.Second, true},
		{"generated before the restart", -time.Second, true},
	} {
		r, ok := table.Resolve(restart.Add(time.Minute), service, uuidAt(restart.Add(tc.after)), window)
		is.True(ok)
		is.Equal(r.EntriesLost, tc.entriesLost)
	}
}

// uuidAt returns a UUIDv7 with the given time.
func uuidAt(at time.Time) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// TestAnnouncementRemovesServices checks that a node loses the ownership of a
// service that its new announcement doesn't list.
func TestAnnouncementRemovesServices(t *testing.T) {
	is := is.New(t)
	table := (*OwnershipTable)(nil).WithRecords(logRecords(announced("a", 1), OwnershipRecord{Kind: Announce, Node: "a", Incarnation: 1, Services: []string{"other"}}))
	is.Equal(len(table.Owners(service)), 0)
	is.Equal(table.OwnedBy(Owner{Node: "a", Incarnation: 1}), []string{"other"})
}

func TestSaveLoadRoundTrip(t *testing.T) {
	is := is.New(t)
	table := (*OwnershipTable)(nil).WithRecords(logRecords(announced("a", 1), announced("b", 1), OwnershipRecord{Kind: HandedOver, Node: "a", Incarnation: 1}))
	data, err := json.Marshal(table.Save())
	is.NoErr(err)
	var saved Saved
	is.NoErr(json.Unmarshal(data, &saved))
	again, err := json.Marshal(Restore(saved).Save())
	is.NoErr(err)
	is.Equal(string(again), string(data))
}
