package wharfidempotency

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OwnershipKind is the kind of an ownership record.
type OwnershipKind string

// Kinds of ownership records.
const (
	// Announce makes a node an owner of keys of its services. It ends the
	// ownership of earlier incarnations.
	Announce OwnershipKind = "announce"
	// Release ends the ownership of a node that still responds to requests about
	// its keys.
	Release OwnershipKind = "release"
	// HandedOver means that a released node has handed all its entries over.
	HandedOver OwnershipKind = "handed-over"
	// Evict ends the ownership of a node that is permanently down.
	Evict OwnershipKind = "evict"
)

// OwnershipRecord is a record of an ownership change, as stored in the log.
type OwnershipRecord struct {
	Kind        OwnershipKind `json:"kind"`
	Node        string        `json:"node"`
	Incarnation uint64        `json:"incarnation"`
	Address     string        `json:"address,omitempty"`
	Services    []string      `json:"services,omitempty"`
	// By names the operator who ordered an eviction.
	By string `json:"by,omitempty"`
}

// Owner is one incarnation of a node that owns keys.
type Owner struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
}

// Same reports whether two owners are the same incarnation of a node.
func (o Owner) Same(other Owner) bool {
	return o.Node == other.Node && o.Incarnation == other.Incarnation
}

const (
	// historyRetention is how long ended epochs are kept. It exceeds the largest
	// possible sum of the resend horizon and the staleness of owners.
	historyRetention = 25 * time.Hour
	// maxEpochs limits the number of epochs that are kept for a service.
	maxEpochs = 256
)

// Epoch is a period in which the owners of a service did not change. Offset is the
// log offset of the record that started the epoch.
type Epoch struct {
	Offset uint64    `json:"offset"`
	Start  time.Time `json:"start"`
	Owners []Owner   `json:"owners"`
}

// history lists the epochs of a service in log order, the current one last.
type history struct {
	epochs []Epoch
	// truncated means that epochs were dropped before historyRetention had
	// passed.
	truncated bool
}

func (h history) current() Epoch {
	if len(h.epochs) == 0 {
		return Epoch{}
	}
	return h.epochs[len(h.epochs)-1]
}

// OwnershipTable is the ownership of keys at one offset of the log. It is
// immutable: WithRecords returns a new table. A nil OwnershipTable is empty.
type OwnershipTable struct {
	services map[string]history
	// ended holds the incarnations that were released or evicted. They can't own
	// keys again.
	ended map[string]endedIncarnation
}

// endedIncarnation is the end of the ownership of one incarnation.
type endedIncarnation struct {
	at time.Time
	// handedOver means that the node handed its entries over.
	handedOver bool
}

// LoggedRecord is an ownership record with its offset and time in the log.
type LoggedRecord struct {
	Record OwnershipRecord
	Offset uint64
	Time   time.Time
}

// WithRecords returns a table with further ownership records applied. The records
// must be in log order.
func (t *OwnershipTable) WithRecords(records []LoggedRecord) *OwnershipTable {
	next := &OwnershipTable{services: map[string]history{}, ended: map[string]endedIncarnation{}}
	if t != nil {
		next.services = maps.Clone(t.services)
		next.ended = maps.Clone(t.ended)
	}
	for _, logged := range records {
		next.apply(logged)
	}
	return next
}

func (t *OwnershipTable) apply(logged LoggedRecord) {
	r := logged.Record
	owner := Owner{Node: r.Node, Incarnation: r.Incarnation, Address: r.Address}
	switch r.Kind {
	case Announce:
		t.announce(logged, owner)
	case Release, Evict:
		for _, service := range t.OwnedBy(owner) {
			t.newEpoch(service, logged, func(owners []Owner) []Owner {
				return slices.DeleteFunc(owners, owner.Same)
			})
		}
		t.markEnded(logged, owner, false)
	case HandedOver:
		t.markEnded(logged, owner, true)
	}
}

// markEnded records that the ownership of an incarnation has ended. It also
// deletes ended incarnations that are older than historyRetention.
func (t *OwnershipTable) markEnded(logged LoggedRecord, owner Owner, handedOver bool) {
	key := incarnationKey(owner)
	t.ended[key] = endedIncarnation{logged.Time, handedOver || t.ended[key].handedOver}
	maps.DeleteFunc(t.ended, func(_ string, e endedIncarnation) bool {
		return logged.Time.Sub(e.at) > historyRetention
	})
}

// HasEnded reports whether an incarnation was released or evicted.
func (t *OwnershipTable) HasEnded(owner Owner) bool {
	if t == nil {
		return false
	}
	_, ended := t.ended[incarnationKey(owner)]
	return ended
}

// announce sets the services of an incarnation. It ignores an incarnation that has
// ended or that is older than the current one of the node, so that neither can
// own keys again.
func (t *OwnershipTable) announce(logged LoggedRecord, owner Owner) {
	if t.HasEnded(owner) {
		return
	}
	for service := range t.services {
		owners := t.services[service].current().Owners
		superseded := slices.ContainsFunc(owners, func(o Owner) bool {
			return o.Node == owner.Node && o.Incarnation > owner.Incarnation
		})
		if superseded {
			return
		}
	}
	for service, h := range t.services {
		listed := slices.ContainsFunc(h.current().Owners, func(o Owner) bool { return o.Node == owner.Node })
		if listed && !slices.Contains(logged.Record.Services, service) {
			t.newEpoch(service, logged, func(owners []Owner) []Owner { return withoutNode(owners, owner.Node) })
		}
	}
	for _, service := range logged.Record.Services {
		if slices.Contains(t.services[service].current().Owners, owner) {
			continue
		}
		t.newEpoch(service, logged, func(owners []Owner) []Owner {
			return append(withoutNode(owners, owner.Node), owner)
		})
	}
}

func withoutNode(owners []Owner, node string) []Owner {
	return slices.DeleteFunc(owners, func(o Owner) bool { return o.Node == node })
}

// OwnedBy returns the services of which an incarnation owns keys, sorted by name.
func (t *OwnershipTable) OwnedBy(owner Owner) []string {
	if t == nil {
		return nil
	}
	var out []string
	for service, h := range t.services {
		if slices.ContainsFunc(h.current().Owners, owner.Same) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// newEpoch starts a new epoch of a service if change alters its owners. It drops
// epochs that ended longer ago than historyRetention or exceed maxEpochs.
func (t *OwnershipTable) newEpoch(service string, logged LoggedRecord, change func([]Owner) []Owner) {
	h := t.services[service]
	before := h.current().Owners
	after := change(slices.Clone(before))
	if slices.Equal(before, after) {
		return
	}
	epochs := append(slices.Clone(h.epochs), Epoch{Offset: logged.Offset, Start: logged.Time, Owners: after})
	for len(epochs) > 1 && logged.Time.Sub(epochs[1].Start) > historyRetention {
		epochs = epochs[1:]
	}
	if len(epochs) > maxEpochs {
		epochs = epochs[len(epochs)-maxEpochs:]
		h.truncated = true
	}
	t.services[service] = history{epochs: epochs, truncated: h.truncated}
}

func incarnationKey(o Owner) string {
	return o.Node + "#" + strconv.FormatUint(o.Incarnation, 10)
}

// Owners returns the current owners of the keys of a service.
func (t *OwnershipTable) Owners(service string) []Owner {
	if t == nil {
		return nil
	}
	return t.services[service].current().Owners
}

// Owner returns the current owner of a key, or false if the service has no owners.
func (t *OwnershipTable) Owner(service, key string) (Owner, bool) {
	return rendezvous(t.Owners(service), key)
}

// rendezvous returns the owner with the highest hash of node and key. The hash
// doesn't include the incarnation, so a restart moves no key to another node.
func rendezvous(owners []Owner, key string) (Owner, bool) {
	var best Owner
	highest, found := uint64(0), false
	for _, o := range owners {
		h := xxhash.Sum64String(o.Node + "\x00" + key)
		if !found || h > highest {
			best, highest, found = o, h, true
		}
	}
	return best, found
}

// SavedService is the stored form of the history of a service.
type SavedService struct {
	Service   string  `json:"service"`
	Epochs    []Epoch `json:"epochs"`
	Truncated bool    `json:"truncated,omitempty"`
}

// SavedIncarnation is the stored form of an incarnation that was released or
// evicted. Incarnation has the form "node#number".
type SavedIncarnation struct {
	Incarnation string    `json:"life"` // stored under its earlier name
	At          time.Time `json:"at"`
	HandedOver  bool      `json:"handed-over,omitempty"`
}

// Saved is the form in which a table is stored and sent.
type Saved struct {
	Services []SavedService     `json:"services"`
	Ended    []SavedIncarnation `json:"ended"`
}

// Empty reports whether the table has no epochs and no ended incarnations.
func (s Saved) Empty() bool {
	return len(s.Services) == 0 && len(s.Ended) == 0
}

// Save returns the stored form of the table.
func (t *OwnershipTable) Save() Saved {
	var saved Saved
	if t == nil {
		return saved
	}
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		h := t.services[service]
		saved.Services = append(saved.Services, SavedService{service, h.epochs, h.truncated})
	}
	for _, key := range slices.Sorted(maps.Keys(t.ended)) {
		saved.Ended = append(saved.Ended, SavedIncarnation{key, t.ended[key].at, t.ended[key].handedOver})
	}
	return saved
}

// Restore rebuilds a table from its stored form.
func Restore(saved Saved) *OwnershipTable {
	t := (*OwnershipTable)(nil).WithRecords(nil)
	for _, s := range saved.Services {
		t.services[s.Service] = history{s.Epochs, s.Truncated}
	}
	for _, e := range saved.Ended {
		t.ended[e.Incarnation] = endedIncarnation{e.At, e.HandedOver}
	}
	return t
}
