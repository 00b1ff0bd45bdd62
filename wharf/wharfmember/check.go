package wharfmember

import (
	"net/netip"

	"github.com/samber/oops"
)

const (
	// MaxIncarnation is the highest incarnation and version of an entry. A node raises its
	// own above those that others hold, which must not overflow.
	MaxIncarnation = 1 << 62
	// maxQuotaShards bounds the shards of quotas in an entry. There are at most a few hundred.
	maxQuotaShards = 1 << 16
	// maxNameLength bounds the ID of a node, in bytes.
	maxNameLength = 512
)

// Check returns an error if the entry isn't one that a node can have. Nodes must not merge such
// an entry from a message: they would pass it on, and may not be able to replace it.
func (m Member) Check() error {
	address, err := netip.ParseAddrPort(m.Address)
	switch {
	case m.Node == "" || len(m.Node) > maxNameLength:
		return oops.Code("member-entry").Errorf("node ID has %d bytes", len(m.Node))
	case m.Incarnation > MaxIncarnation || m.Version > MaxIncarnation:
		return oops.Code("member-entry").Errorf("incarnation %d or version %d is out of range", m.Incarnation, m.Version)
	case m.State > Left:
		return oops.Code("member-entry").Errorf("state %d isn't known", m.State)
	case len(m.QuotaShards) > maxQuotaShards:
		return oops.Code("member-entry").Errorf("entry has %d shards of quotas", len(m.QuotaShards))
	case err != nil:
		return oops.Code("member-entry").Wrap(err)
	case address.Port() == 0:
		return oops.Code("member-entry").Errorf("port of %s is zero", m.Address)
	}
	return nil
}
