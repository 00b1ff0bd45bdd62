package wharfmember

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// State says whether a node takes work.
type State uint8

// States of a node. Of two entries with the same incarnation and version the
// one with the larger state wins.
const (
	Alive State = iota
	// Leaving nodes take no new work and finish what they have.
	Leaving
	// Down nodes are believed dead by several others.
	Down
	// Left nodes have ended as planned.
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

// LabelInstance is the label that names the life of a target, which changes
// with each of its starts.
const LabelInstance = "instance"

// Target is what a target announced to its node.
type Target struct {
	Service string            `json:"service"`
	Address string            `json:"address"`
	Slots   int               `json:"slots"`
	Labels  map[string]string `json:"labels,omitempty"`
	Leaving bool              `json:"leaving,omitempty"`
}

// Member is the entry of one node. Only the node itself raises its version;
// others may only set its state to Down.
type Member struct {
	Node          string   `json:"node"`
	Incarnation   uint64   `json:"incarnation"`
	Version       uint64   `json:"version"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure-domain"`
	Region        string   `json:"region"`
	State         State    `json:"state"`
	Targets       []Target `json:"targets,omitempty"`
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

// WithoutTarget returns the entry without a target.
func (m Member) WithoutTarget(address string) Member {
	m.Targets = slices.DeleteFunc(slices.Clone(m.Targets), func(t Target) bool {
		return t.Address == address
	})
	return m
}

// WithState returns the entry in another state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// TakesWork reports whether new work may be sent to the node.
func (m Member) TakesWork() bool {
	return m.State == Alive
}

// digest sums up what makes two entries differ. Content follows from node,
// incarnation and version, because only the node itself writes it.
func (m Member) digest() uint64 {
	b := append([]byte(m.Node), 0)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, m.Version)
	return xxhash.Sum64(append(b, byte(m.State)))
}

// SameTarget reports whether two announcements say the same.
func SameTarget(a, b Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && maps.Equal(a.Labels, b.Labels)
}
