package wharfmember

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// State is the membership state of a node.
type State uint8

// States of a node. Of two entries with the same incarnation and version, the one
// with the larger state replaces the other.
const (
	// Alive nodes accept requests.
	Alive State = iota
	// Leaving nodes accept no new requests and finish the ones they have.
	Leaving
	// Down nodes have failed according to the reports of several other nodes.
	Down
	// Left nodes have stopped as planned.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Down:
		return "down"
	case Left:
		return "left"
	default:
		return "state-" + strconv.Itoa(int(s))
	}
}

// LabelInstance is the label with the instance of a target. The instance normally
// changes with each start of the target.
const LabelInstance = "instance"

// LabelStarted is the label with the start time of a target in Unix milliseconds. It tells
// the incarnations of a target apart that have the same instance.
const LabelStarted = "started"

// Target is the announcement of a target to its node.
type Target struct {
	Service string            `json:"service"`
	Address string            `json:"address"`
	Slots   int               `json:"slots"`
	Labels  map[string]string `json:"labels,omitempty"`
	Leaving bool              `json:"leaving,omitempty"`
}

// Incarnation identifies the process of a target among those that had its address. It is empty if
// the announcement doesn't tell.
func (t Target) Incarnation() string {
	instance, started := t.Labels[LabelInstance], t.Labels[LabelStarted]
	if instance == "" && started == "" {
		return ""
	}
	return instance + "/" + started
}

// Member is the entry of one node. The incarnation increases with each start of the
// node, and the version with each change that the node makes to its entry. Other
// nodes may only set the state to Down, which leaves the version unchanged.
type Member struct {
	Node          string   `json:"node"`
	Incarnation   uint64   `json:"incarnation"`
	Version       uint64   `json:"version"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure-domain"`
	Region        string   `json:"region"`
	State         State    `json:"state"`
	Targets       []Target `json:"targets,omitempty"`
	// QuotaShards are the shards of the quotas of client accounts that the node may be asked for,
	// in ascending order.
	QuotaShards []int `json:"quota-shards,omitempty"`
}

// newer reports whether m replaces other.
func (m Member) newer(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.State > other.State
}

// WithoutTarget returns the entry without the target at the given address.
func (m Member) WithoutTarget(address string) Member {
	m.Targets = slices.DeleteFunc(slices.Clone(m.Targets), func(t Target) bool {
		return t.Address == address
	})
	return m
}

// LeavingTargets returns the targets that are leaving.
func (m Member) LeavingTargets() []Target {
	var out []Target
	for _, t := range m.Targets {
		if t.Leaving {
			out = append(out, t)
		}
	}
	return out
}

// WithState returns the entry with the given state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// WithQuotaShards returns the entry with the given shards of the quotas of client accounts.
func (m Member) WithQuotaShards(shards []int) Member {
	m.QuotaShards = shards
	return m
}

// AcceptsRequests reports whether new requests may be sent to the node.
func (m Member) AcceptsRequests() bool {
	return m.State == Alive
}

// digest returns a hash of node, incarnation, version and state. The hash doesn't
// need the other fields: only the node itself changes them, and it then increases
// the incarnation or the version.
func (m Member) digest() uint64 {
	b := append([]byte(m.Node), 0)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, m.Version)
	return xxhash.Sum64(append(b, byte(m.State)))
}

// SameTarget reports whether two announcements are equal.
func SameTarget(a, b Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && maps.Equal(a.Labels, b.Labels)
}
