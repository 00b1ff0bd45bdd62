package wharfidempotency

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OwnershipKind names a kind of ownership record.
type OwnershipKind string

// Kinds of ownership records.
const (
	// Announce makes a node an owner of keys of its services. It ends the
	// ownership of earlier incarnations.
	Announce OwnershipKind = "announce"
	// Release ends the ownership of a node that still answers for its keys.
	Release OwnershipKind = "release"
	// HandedOver says that a released node gave all its records away.
	HandedOver OwnershipKind = "handed-over"
	// Evict ends the ownership of a node that is gone.
	Evict OwnershipKind = "evict"
)

// OwnershipRecord is an ownership record as it stands in the log.
type OwnershipRecord struct {
	Kind        OwnershipKind `json:"kind"`
	Node        string        `json:"node"`
	Incarnation uint64        `json:"incarnation"`
	Address     string        `json:"address,omitempty"`
	Services    []string      `json:"services,omitempty"`
	// By names the operator of an eviction.
	By string `json:"by,omitempty"`
}

// Owner is one life of a node that owns keys.
type Owner struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
}

// Same reports whether two owners are the same life of a node.
func (o Owner) Same(other Owner) bool {
	return o.Node == other.Node && o.Incarnation == other.Incarnation
}

const (
	// historyRetention is how long ended epochs are kept. It is longer than the
	// resend horizon and the staleness of homes can be together.
	historyRetention = 25 * time.Hour
	// maxEpochs bounds the epochs that are kept for a service.
	maxEpochs = 256
)

// Epoch is a time during which the owners of a service were the same.
type Epoch struct {
	Offset uint64    `json:"offset"`
	Start  time.Time `json:"start"`
	Owners []Owner   `json:"owners"`
}

// history lists the epochs of a service, the present one last.
type history struct {
	epochs []Epoch
	// truncated says that epochs were dropped before historyRetention was over.
	truncated bool
}

func (h history) present() Epoch {
	if len(h.epochs) == 0 {
		return Epoch{}
	}
	return h.epochs[len(h.epochs)-1]
}

// OwnershipTable is the ownership at one offset of the log. It never changes;
// WithRecord returns a new one. A nil OwnershipTable is empty.
type OwnershipTable struct {
	services map[string]history
	// ended holds the lives that were released or evicted. They never own keys
	// again.
	ended map[string]endedIncarnation
}

// endedIncarnation is the end of a life's ownership.
type endedIncarnation struct {
	at time.Time
	// handedOver says that its records were given away.
	handedOver bool
}

// LoggedRecord is an ownership record with its place in the log.
type LoggedRecord struct {
	Record OwnershipRecord
	Offset uint64
	Time   time.Time
}

// WithRecords folds ownership records in the order of the log.
func (t *OwnershipTable) WithRecords(records []LoggedRecord) *OwnershipTable {
	next := &OwnershipTable{services: map[string]history{}, ended: map[string]endedIncarnation{}}
	if t != nil {
		next.services = maps.Clone(t.services)
		next.ended = maps.Clone(t.ended)
	}
	for _, p := range records {
		next.fold(p)
	}
	return next
}

func (t *OwnershipTable) fold(p LoggedRecord) {
	r := p.Record
	owner := Owner{Node: r.Node, Incarnation: r.Incarnation, Address: r.Address}
	switch r.Kind {
	case Announce:
		t.announce(p, owner)
	case Release, Evict:
		for _, service := range t.OwnedBy(owner) {
			t.newEpoch(service, p, func(owners []Owner) []Owner {
				return slices.DeleteFunc(owners, owner.Same)
			})
		}
		t.end(p, owner, false)
	case HandedOver:
		t.end(p, owner, true)
	}
}

// end records that a life owns keys no more.
func (t *OwnershipTable) end(p LoggedRecord, owner Owner, handedOver bool) {
	life := incarnationKey(owner)
	t.ended[life] = endedIncarnation{p.Time, handedOver || t.ended[life].handedOver}
	maps.DeleteFunc(t.ended, func(_ string, e endedIncarnation) bool {
		return p.Time.Sub(e.at) > historyRetention
	})
}

// HasEnded reports whether a life was released or evicted.
func (t *OwnershipTable) HasEnded(owner Owner) bool {
	if t == nil {
		return false
	}
	_, ended := t.ended[incarnationKey(owner)]
	return ended
}

// announce sets the services of a life. A life that has ended and one that is
// older than the present one are refused, so that neither can come back.
func (t *OwnershipTable) announce(p LoggedRecord, owner Owner) {
	if t.HasEnded(owner) {
		return
	}
	for service := range t.services {
		present := t.services[service].present().Owners
		stale := slices.ContainsFunc(present, func(o Owner) bool {
			return o.Node == owner.Node && o.Incarnation > owner.Incarnation
		})
		if stale {
			return
		}
	}
	for service, h := range t.services {
		listed := slices.ContainsFunc(h.present().Owners, func(o Owner) bool { return o.Node == owner.Node })
		if listed && !slices.Contains(p.Record.Services, service) {
			t.newEpoch(service, p, func(owners []Owner) []Owner { return without(owners, owner.Node) })
		}
	}
	for _, service := range p.Record.Services {
		if slices.Contains(t.services[service].present().Owners, owner) {
			continue
		}
		t.newEpoch(service, p, func(owners []Owner) []Owner {
			return append(without(owners, owner.Node), owner)
		})
	}
}

func without(owners []Owner, node string) []Owner {
	return slices.DeleteFunc(owners, func(o Owner) bool { return o.Node == node })
}

// OwnedBy returns the services that a life owns keys of.
func (t *OwnershipTable) OwnedBy(owner Owner) []string {
	if t == nil {
		return nil
	}
	var out []string
	for service, h := range t.services {
		if slices.ContainsFunc(h.present().Owners, owner.Same) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// newEpoch begins a new epoch of a service, unless nothing changes.
func (t *OwnershipTable) newEpoch(service string, p LoggedRecord, change func([]Owner) []Owner) {
	h := t.services[service]
	before := h.present().Owners
	after := change(slices.Clone(before))
	if slices.Equal(before, after) {
		return
	}
	epochs := append(slices.Clone(h.epochs), Epoch{Offset: p.Offset, Start: p.Time, Owners: after})
	for len(epochs) > 1 && p.Time.Sub(epochs[1].Start) > historyRetention {
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

// Owners returns the present owners of the keys of a service.
func (t *OwnershipTable) Owners(service string) []Owner {
	if t == nil {
		return nil
	}
	return t.services[service].present().Owners
}

// Owner returns the present home of a key.
func (t *OwnershipTable) Owner(service, key string) (Owner, bool) {
	return rendezvous(t.Owners(service), key)
}

// rendezvous returns the owner with the highest hash of node and key. The
// incarnation doesn't count, so a restart moves no key to another node.
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

// SavedIncarnation is the stored form of a life that has ended.
type SavedIncarnation struct {
	Incarnation string    `json:"life"`
	At          time.Time `json:"at"`
	HandedOver  bool      `json:"handed-over,omitempty"`
}

// Saved is the form of a table that is stored and sent.
type Saved struct {
	Services []SavedService     `json:"services"`
	Ended    []SavedIncarnation `json:"ended"`
}

// Empty reports whether nothing was ever owned.
func (s Saved) Empty() bool {
	return len(s.Services) == 0 && len(s.Ended) == 0
}

// Save returns the stored form.
func (t *OwnershipTable) Save() Saved {
	var saved Saved
	if t == nil {
		return saved
	}
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		h := t.services[service]
		saved.Services = append(saved.Services, SavedService{service, h.epochs, h.truncated})
	}
	for _, life := range slices.Sorted(maps.Keys(t.ended)) {
		saved.Ended = append(saved.Ended, SavedIncarnation{life, t.ended[life].at, t.ended[life].handedOver})
	}
	return saved
}

// Load rebuilds a table from its stored form.
func Load(saved Saved) *OwnershipTable {
	t := (*OwnershipTable)(nil).WithRecords(nil)
	for _, s := range saved.Services {
		t.services[s.Service] = history{s.Epochs, s.Truncated}
	}
	for _, l := range saved.Ended {
		t.ended[l.Incarnation] = endedIncarnation{l.At, l.HandedOver}
	}
	return t
}
